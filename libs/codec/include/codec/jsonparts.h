#pragma once

#include <optional>
#include <string_view>
#include <vector>

namespace fescuespring {

// The parts of a JSON text, cut out without decoding them. A list whose entries come from several
// writers is decoded part by part, so that an entry that the JSON parser refuses (nested too
// deeply, a number beyond any range, bytes that are not UTF-8) does not cost the others.
//
//     const auto members = jsonMembers(body);
//     for (const std::string_view entry : jsonElements(memberText(*members, "items")).value())
//         decodeEntry(entry);
//
// Only strings, brackets and commas are looked at; whether a part is valid JSON is up to its
// decoder. Nesting costs no stack. The parts refer to the text and are valid as long as it is. Any
// thread.

// A member of an object. The name is as written in the text, without its quotes; escapes are kept.
struct JsonMember
{
    std::string_view name;
    std::string_view value;
};

// The members of an object, in order; empty if the text is not an object, or if one of its strings
// or brackets is not closed.
std::optional<std::vector<JsonMember>> jsonMembers(std::string_view text);

// The elements of an array, in order; empty if the text is not an array, or if one of its strings
// or brackets is not closed.
std::optional<std::vector<std::string_view>> jsonElements(std::string_view text);

// The value of the last member with this name; an empty text if there is none.
std::string_view memberText(const std::vector<JsonMember> &members, std::string_view name);

} // namespace fescuespring
