#pragma once

#include "base/types.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace fescuespring {

// What is known of a database that may serve a read.
struct ReaderCandidate
{
    // Expected time until the statement is sent to the database, and time there.
    Duration wait{0};
    Duration service{0};

    // Time of the way to a database in another data centre and back.
    Duration hop{0};

    // The primary's slots are needed for writes.
    bool isPrimary = false;
    bool isResponsive = true;
    std::uint32_t failuresInARow = 0;

    // Time since the database was found or responded again.
    Duration sinceReturn = std::chrono::hours(1);
};

// Chooses the database of a read. random is uniformly distributed in [0, 1). Each database gets a
// share of the reads: in proportion to its speed, less the longer the wait at it is. The share
// follows the wait weakly, rather than all reads going to the earliest expected completion: many
// VMs choose on the same figures, which are some hundred milliseconds old, and would all move to
// one database and back. One that is not expected to start the statement within useful is left out
// as long as another is, and one that has returned gets a growing part of its share. Empty if there
// are no candidates.
//
//     const auto index = chooseReader(candidates, useful, random);
std::optional<std::size_t> chooseReader(const std::vector<ReaderCandidate> &candidates,
                                        Duration useful, double random);

} // namespace fescuespring
