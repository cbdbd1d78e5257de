#pragma once

#include "base/types.h"

#include <cstddef>

namespace fescuespring {

// What the observers of a database report about it. Observers are the VMs that judge whether a
// primary is lost; each reports a database that does not answer it, and confirms one that does
// answer it although another VM reported it.
//
//     if (isLost({.observers = 3, .unresponsive = 1, .sinceFirstReport = waited}))
//         replacePrimary();
//
// The decision is for availability only: a wrong one costs a change of primary, while leases and
// fencing keep the data safe.
struct ObserverReports
{
    // VMs that observe the database.
    std::size_t observers = 1;

    // VMs that get no answer from it.
    std::size_t unresponsive = 0;

    // Observers that have got an answer since the first of these reports.
    std::size_t confirming = 0;

    // Time since the first of these reports was received.
    Duration sinceFirstReport{0};
};

// Whether a database is lost to the VMs: a majority of its observers get no answer; or, as some
// observers may be cut off from the store or have stopped, most of those that have answered within
// a short time.
bool isLost(const ObserverReports &reports);

} // namespace fescuespring
