#pragma once

#include "base/types.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace fescuespring {

// A fraction of a customer's rate that a counting VM has lent, as told to the VM that would take
// over from it.
struct LentNote
{
    CustomerId customer;
    double fraction = 0;

    // Time until the loan ends.
    Duration remaining{0};

    bool operator==(const LentNote &) const = default;
};

// A request between VMs about the allowances of customers. Each gets one AllowanceAnswer.
struct AllowanceRequest
{
    enum class Kind {
        // Take tokens for operations that are about to start.
        Tokens,

        // Lend a fraction of the customer's rate to another data centre.
        Borrow,

        // The sender is alive and can reach the receiver.
        Hello,
    };
    Kind kind = Kind::Hello;
    VmId from = {};

    // Of Tokens and Borrow.
    CustomerId customer = {};

    // Of Tokens: the number wanted; and the number granted earlier by the VM `returnedTo` that
    // expired unused.
    std::uint32_t tokens = 0;
    std::uint32_t returned = 0;
    VmId returnedTo = {};

    // Of Tokens: sent on by the deputy, which counts by itself if the receiver does not.
    bool isForwarded = false;

    // Of Borrow: the fraction of the customer's rate that the sender wants from this VM in all, and
    // the one that it uses now. Requests with a lower serial than the last one are ignored.
    double fraction = 0;
    double held = 0;
    std::uint64_t serial = 0;

    // Of Hello: whether the sender counts for customers; and a VM that it counts in place of, if
    // any.
    bool isCounting = false;
    VmId about = {};

    // Of Hello: loans that the receiver has to respect if it takes over from the sender.
    std::vector<LentNote> lent = {};

    bool operator==(const AllowanceRequest &) const = default;
};

struct AllowanceAnswer
{
    // False if this VM does not count the customer's operations now; if it will, after retryAfter.
    bool isCounting = false;

    // The VM that granted the tokens, and their number.
    VmId granter = {};
    std::uint32_t tokens = 0;

    // If fewer tokens than wanted were granted: when to ask again.
    Duration retryAfter{0};

    // Answering Hello: the time since the VM that it is about was last known to count.
    std::optional<Duration> countingAge = {};

    // The fraction lent, in place of what was lent before.
    double fraction = 0;

    bool operator==(const AllowanceAnswer &) const = default;
};

} // namespace fescuespring
