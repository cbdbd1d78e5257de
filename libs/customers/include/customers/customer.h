#pragma once

#include "base/types.h"

#include <chrono>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace fescuespring {

// SHA-256 of an API key as lower-case hexadecimal text. Keys are kept, logged and transmitted in
// this form only.
using KeyDigest = Name<struct KeyDigestTag>;

// Operations that a customer may start, on all VMs together. An operation is one statement outside
// a transaction, or one transaction. Enforced as a token bucket.
struct Allowance
{
    // Infinite where there is no limit; 0 allows none beyond the burst.
    double operationsPerSecond = std::numeric_limits<double>::infinity();

    // Operations that may start at once after a pause.
    double burst = 0;

    bool operator==(const Allowance &) const = default;
};

// A customer as the operator's configuration describes it.
struct Customer
{
    CustomerId id;
    std::vector<KeyDigest> keys;
    Allowance allowance = {};

    bool operator==(const Customer &) const = default;
};

// Bound on the operations of one customer in any span of `window`: excess and tolerance are added
// to what the allowance grants in that time.
struct AllowanceBound
{
    std::chrono::milliseconds window{5000};

    // Fraction of the allowance.
    double excess = 0.1;

    // Operations.
    double tolerance = 0;
};

} // namespace fescuespring
