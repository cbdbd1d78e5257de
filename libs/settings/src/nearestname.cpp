#include "nearestname.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace fescuespring::detail {

namespace {

// Edits that a misspelt name may be away, as a part of its length.
constexpr std::size_t lettersPerEdit = 3;

// Insertions, removals and replacements that turn one text into the other.
std::size_t editDistance(std::string_view from, std::string_view to)
{
    std::vector<std::size_t> row(to.size() + 1);
    std::iota(row.begin(), row.end(), 0);
    for (std::size_t i = 1; i <= from.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= to.size(); ++j) {
            const std::size_t replaced = diagonal + (from[i - 1] == to[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({replaced, row[j] + 1, row[j - 1] + 1});
        }
    }
    return row.back();
}

} // namespace

std::string_view nearestName(std::string_view text, const std::vector<std::string_view> &names)
{
    std::string_view nearest;
    std::size_t fewest = 1 + text.size() / lettersPerEdit;
    for (const std::string_view name : names) {
        const std::size_t distance = editDistance(text, name);
        if (distance > fewest || (distance == fewest && !nearest.empty()))
            continue;
        nearest = name;
        fewest = distance;
    }
    return nearest;
}

} // namespace fescuespring::detail
