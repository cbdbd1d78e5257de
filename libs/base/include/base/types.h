#pragma once

#include "base/strongtype.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace fescuespring {

// Identifiers and numbers used by all libraries.
using VmId = Name<struct VmTag>;
using DataCentreId = Name<struct DataCentreTag>;
using GroupId = Name<struct GroupTag>;
using DatabaseId = Name<struct DatabaseTag>;
using CustomerId = Name<struct CustomerTag>;
using PlanId = Name<struct PlanTag>;
using SessionId = Name<struct SessionTag>;
using RequestId = Name<struct RequestTag>;

// Leadership term of a group; increases with every change of primary.
using Term = Number<struct TermTag>;

// Position of an entry in a database's log; the first entry is at 1, 0 means an empty log.
using LogPosition = Number<struct LogPositionTag>;

// Version of an object in the platform's store; 0 means that the object does not exist. Rises with
// each change, also across a restore of the store; see store/objectversion.h.
using ObjectVersion = Number<struct ObjectVersionTag>;

// Epoch of the platform's store; rises each time the store was restored from a copy and has thereby
// lost the newest changes. 0 if the store was never restored.
using StoreEpoch = Number<struct StoreEpochTag>;

// Times of the decision libraries, which read no clock: the caller passes the time in.
using Duration = std::chrono::microseconds;
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// IP address and port on which a process listens.
struct Endpoint
{
    std::string ip;
    std::uint16_t port = 0;

    // clang-tidy mistakes the 0 of the defaulted comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const Endpoint &) const = default;
};

} // namespace fescuespring
