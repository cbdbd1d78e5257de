#pragma once

#include "base/result.h"
#include "base/types.h"

#include <yaml-cpp/yaml.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescuespring::detail {

// Both ends are allowed.
template <typename T>
struct Range
{
    T minimum;
    T maximum;
};

enum class Presence {
    Required,
    Optional,
};

// One mapping of a YAML text, whose fields are read one by one into a struct. Every fault is added
// to errors with the line and the path of its field; what is wrong or left out keeps its value.
//
//     Section section(node, "limits", errors);
//     section.number("maxBodyBytes", limits.maxBodyBytes, {1024, 16 * 1024 * 1024});
//     section.refuseOthers();
class Section
{
public:
    Section(const YAML::Node &node, std::string path, std::vector<Error> &errors);

    // Letters, digits, dots, dashes and underscores, as they may stand in keys and log lines.
    template <typename Tag>
    void name(std::string_view field, Name<Tag> &target)
    {
        std::string text;
        nameText(field, text);
        target = Name<Tag>(std::move(text));
    }
    void nameText(std::string_view field, std::string &target);

    void text(std::string_view field, std::string &target, Range<std::size_t> bytes,
              Presence presence);
    void number(std::string_view field, std::uint32_t &target, Range<std::uint32_t> range,
                Presence presence = Presence::Optional);
    void milliseconds(std::string_view field, std::chrono::milliseconds &target,
                      Range<std::chrono::milliseconds> range);

    // Field of a further mapping, read by read.
    void section(std::string_view field, Presence presence,
                 const std::function<void(Section &)> &read);

    // List of at least one mapping, read by read in order.
    void list(std::string_view field, const std::function<void(Section &)> &read,
              Presence presence = Presence::Required);

    template <typename Enum>
    void choice(std::string_view field, Enum &target,
                std::optional<Enum> (*fromString)(std::string_view), std::string_view choices)
    {
        std::string text;
        this->text(field, text, {1, maximumChoiceBytes}, Presence::Optional);
        if (text.empty())
            return;
        if (const std::optional<Enum> found = fromString(text))
            target = *found;
        else
            refuse(field, "must be one of " + std::string(choices));
    }

    // Adds an error at the line of the field, or of the mapping where the field was left out.
    void refuse(std::string_view field, std::string message,
                ErrorCode code = ErrorCode::InvalidField);

    // Adds an error for each field that nobody asked for, with the name that was probably meant.
    void refuseOthers();

    int lineOf(std::string_view field) const;

private:
    static constexpr std::size_t maximumChoiceBytes = 64;

    struct Entry
    {
        std::string key;
        YAML::Node value;
        int line = 0;
    };

    void readEntries(const YAML::Node &node);
    const Entry *entry(std::string_view field) const;
    const Entry *find(std::string_view field, Presence presence);
    std::optional<std::string> scalar(std::string_view field, Presence presence);
    std::optional<std::uint64_t> whole(std::string_view field, Range<std::uint64_t> range,
                                       Presence presence);
    void readItem(const YAML::Node &node, const std::string &field,
                  const std::function<void(Section &)> &read);
    std::string pathOf(std::string_view field) const;

    std::string m_path;
    int m_line = 0;
    std::vector<Error> &m_errors;
    std::vector<Entry> m_entries;
    std::vector<std::string> m_known;
};

} // namespace fescuespring::detail
