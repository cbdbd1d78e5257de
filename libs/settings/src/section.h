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

// Inclusive at both ends.
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

// A mapping in a YAML text, whose fields are read one by one into a struct. Each error is added to
// the list with the line and path of its field. Invalid or missing fields keep their default value.
//
//     Section section(node, "limits", errors);
//     section.number("maxBodyBytes", limits.maxBodyBytes, {1024, 16 * 1024 * 1024});
//     section.rejectUnknownFields();
class Section
{
public:
    Section(const YAML::Node &node, std::string path, std::vector<Error> &errors);

    // Reads a name. Only letters, digits, dots, dashes and underscores are allowed, because names
    // are used in keys and log lines.
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
    void boolean(std::string_view field, bool &target);
    void milliseconds(std::string_view field, std::chrono::milliseconds &target,
                      Range<std::chrono::milliseconds> range);

    // Reads a number of seconds, which may have a fraction; what is below a millisecond is dropped.
    void seconds(std::string_view field, std::chrono::milliseconds &target,
                 Range<std::chrono::seconds> range);

    // Reads a number that may have a fraction.
    void real(std::string_view field, double &target, Range<double> range);

    // Reads a nested mapping with read.
    void section(std::string_view field, Presence presence,
                 const std::function<void(Section &)> &read);

    // Reads a list of one or more mappings, each with read, in order.
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
            addError(field, "must be one of " + std::string(choices));
    }

    // Adds an error at the line of the field, or of the mapping if the field is missing.
    void addError(std::string_view field, std::string message,
                  ErrorCode code = ErrorCode::InvalidField);

    // Adds an error for each field that was not read, with the most similar known name.
    void rejectUnknownFields();

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
    std::optional<std::uint64_t> integer(std::string_view field, Range<std::uint64_t> range,
                                         Presence presence);
    void readMapping(const YAML::Node &node, const std::string &field,
                     const std::function<void(Section &)> &read);
    std::optional<double> fraction(std::string_view field, Range<double> range);
    std::string pathOf(std::string_view field) const;

    std::string m_path;
    int m_line = 0;
    std::vector<Error> &m_errors;
    std::vector<Entry> m_entries;
    std::vector<std::string> m_knownFields;
};

} // namespace fescuespring::detail
