#pragma once

#include "base/strongtype.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace fescuespring {

// Names and numbers that every library shares.
using VmId = Name<struct VmTag>;
using DataCentreId = Name<struct DataCentreTag>;
using GroupId = Name<struct GroupTag>;
using DatabaseId = Name<struct DatabaseTag>;
using CustomerId = Name<struct CustomerTag>;
using PlanId = Name<struct PlanTag>;
using SessionId = Name<struct SessionTag>;
using RequestId = Name<struct RequestTag>;

// Number of a primary's reign in its group; rises with every change of primary.
using Term = Number<struct TermTag>;

// Position of an entry in a database's log; the first entry is at 1, 0 is the empty log.
using LogPosition = Number<struct LogPositionTag>;

// Version of an object of the platform's store; 0 means that there is no such object.
using ObjectVersion = Number<struct ObjectVersionTag>;

// All times of the decision libraries. They read no clock: the caller passes the time in.
using Duration = std::chrono::microseconds;
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// Where a process listens: an IP number and a port.
struct Endpoint
{
    std::string ip;
    std::uint16_t port = 0;

    // The check takes the 0 that a comparison stands for as a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const Endpoint &) const = default;
};

} // namespace fescuespring
