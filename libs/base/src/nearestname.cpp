#include "base/nearestname.h"

#include <algorithm>
#include <numeric>

namespace fescuespring {

namespace {

// Largest edit distance of a suggestion; for short names half of their length, but at least 1.
constexpr std::size_t maximumEdits = 3;

std::size_t levenshteinDistance(const std::string &a, const std::string &b)
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
    std::size_t bestDistance =
            std::min(maximumEdits, std::max<std::size_t>(1, name.size() / 2)) + 1;
    for (const std::string &candidate : names) {
        const std::size_t distance = levenshteinDistance(name, candidate);
        if (distance < bestDistance) {
            bestDistance = distance;
            best = &candidate;
        }
    }
    return best ? ", did you mean '" + *best + "'?" : std::string();
}

} // namespace fescuespring
