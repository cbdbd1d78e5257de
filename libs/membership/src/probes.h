#pragma once

#include "base/types.h"
#include "membership/membership.h"

#include <cstdint>
#include <vector>

namespace fescuespring::detail {

// One member that is being probed, from the first ping to its answer or its death.
struct Probe
{
    VmId target;
    std::uint32_t sequence = 0;
    Instant started;
    Instant nextSend;
    int sends = 0;

    bool suspected = false;
    Instant suspectedAt;

    // Another member said since then that it does not reach the target either.
    bool confirmed = false;
};

// What is to be sent now for one probe.
struct ProbeSend
{
    VmId target;
    std::uint32_t sequence = 0;
    bool byHelpers = false;
};

// What became due.
struct ProbeSteps
{
    std::vector<ProbeSend> sends;
    std::vector<VmId> suspected;
    std::vector<VmId> dead;
};

// Circumstances that decide whether a suspect may be declared dead.
struct Witnesses
{
    // Others that could confirm.
    std::size_t others = 0;

    // When any member was last heard.
    Instant lastHeard;
};

// The probes that are under way. Their number is bounded by the period and the timeouts.
class Probes
{
public:
    explicit Probes(const MembershipOptions &options);

    void start(const VmId &target, std::uint32_t sequence, Instant now);
    bool isProbed(const VmId &target) const;
    bool isSuspected(const VmId &target) const;

    // The target answered, to whomever, or is no member any more. True where it was suspected.
    bool end(const VmId &target);

    // A helper does not reach the target of this probe either.
    void confirm(std::uint32_t sequence);

    ProbeSteps step(Instant now, const Witnesses &witnesses);

    void clear();

private:
    bool isDead(const Probe &probe, Instant now, const Witnesses &witnesses) const;
    void send(Probe &probe, Instant now, ProbeSteps &steps) const;

    Duration m_resendAfter;
    Duration m_probeTimeout;
    Duration m_suspicionTimeout;
    Duration m_isolationTimeout;
    std::vector<Probe> m_probes;
};

} // namespace fescuespring::detail
