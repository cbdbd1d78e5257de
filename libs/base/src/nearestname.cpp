#include "base/nearestname.h"

#include <algorithm>
#include <numeric>

namespace fescuespring {

namespace {

// Names that differ by more edits than half of their length, or by more than this, are not near.
constexpr std::size_t mostEdits = 3;

// Levenshtein distance.
std::size_t distance(const std::string &a, const std::string &b)
{
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), 0);
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const std::size_t replaced = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({replaced, row[j] + 1, row[j - 1] + 1});
        }
    }
    return row.back();
}

} // namespace

std::string suggestion(const std::string &name, const std::vector<std::string> &names)
{
    const std::string *best = nullptr;
    std::size_t least = std::min(mostEdits, std::max<std::size_t>(1, name.size() / 2)) + 1;
    for (const std::string &candidate : names) {
        const std::size_t edits = distance(name, candidate);
        if (edits < least) {
            least = edits;
            best = &candidate;
        }
    }
    return best ? ", did you mean '" + *best + "'?" : std::string();
}

} // namespace fescuespring
