#pragma once

#include "base/types.h"
#include "membership/membership.h"

#include <cstdint>
#include <vector>

namespace fescuespring::detail {

// Probe of one member, from the first ping until it answers or is declared dead.
struct Probe
{
    VmId target;
    std::uint32_t sequence = 0;
    Instant started;
    Instant nextSend;
    int sends = 0;

    bool suspected = false;
    Instant suspectedAt;

    // Another member has reported since then that it cannot reach the target either.
    bool confirmed = false;
};

// A ping that is due for one probe.
struct ProbeSend
{
    VmId target;
    std::uint32_t sequence = 0;
    bool alsoViaHelpers = false;
};

// What is due after a step.
struct ProbeSteps
{
    std::vector<ProbeSend> sends;
    std::vector<VmId> suspected;
    std::vector<VmId> dead;
};

// What a VM considers before it declares a suspect dead.
struct SuspicionContext
{
    // Number of other members that could confirm.
    std::size_t others = 0;

    // When the last datagram of any member arrived.
    Instant lastReceived;
};

// The pending probes. Their number is bounded by the period and the timeouts.
class Probes
{
public:
    explicit Probes(const MembershipOptions &options);

    void start(const VmId &target, std::uint32_t sequence, Instant now);
    bool isProbed(const VmId &target) const;
    bool isSuspected(const VmId &target) const;

    // Ends the probe: the target answered some member, or is no longer a member. Returns true if it
    // was suspected.
    bool end(const VmId &target);

    // A helper reported that it cannot reach the target of this probe either.
    void confirm(std::uint32_t sequence);

    ProbeSteps step(Instant now, const SuspicionContext &context);

    void clear();

private:
    bool isDead(const Probe &probe, Instant now, const SuspicionContext &context) const;
    void send(Probe &probe, Instant now, ProbeSteps &steps) const;

    Duration m_resendAfter;
    Duration m_probeTimeout;
    Duration m_suspicionTimeout;
    Duration m_isolationTimeout;
    std::vector<Probe> m_probes;
};

} // namespace fescuespring::detail
