#include "probes.h"

#include <algorithm>

namespace fescuespring::detail {

namespace {

// Number of direct pings before helpers are involved.
constexpr int directSends = 2;

} // namespace

Probes::Probes(const MembershipOptions &options)
    : m_resendAfter(options.resendAfter)
    , m_probeTimeout(options.probeTimeout)
    , m_suspicionTimeout(options.suspicionTimeout)
    , m_isolationTimeout(options.isolationTimeout)
{}

void Probes::start(const VmId &target, std::uint32_t sequence, Instant now)
{
    Probe probe;
    probe.target = target;
    probe.sequence = sequence;
    probe.started = now;
    probe.nextSend = now;
    m_probes.push_back(std::move(probe));
}

bool Probes::isProbed(const VmId &target) const
{
    return std::any_of(m_probes.begin(), m_probes.end(),
                       [&](const Probe &probe) { return probe.target == target; });
}

bool Probes::isSuspected(const VmId &target) const
{
    return std::any_of(m_probes.begin(), m_probes.end(), [&](const Probe &probe) {
        return probe.suspected && probe.target == target;
    });
}

bool Probes::end(const VmId &target)
{
    const bool wasSuspected = isSuspected(target);
    std::erase_if(m_probes, [&](const Probe &probe) { return probe.target == target; });
    return wasSuspected;
}

void Probes::confirm(std::uint32_t sequence)
{
    for (Probe &probe : m_probes) {
        if (probe.sequence == sequence && probe.suspected)
            probe.confirmed = true;
    }
}

ProbeSteps Probes::step(Instant now, const SuspicionContext &context)
{
    ProbeSteps steps;
    for (Probe &probe : m_probes) {
        if (!probe.suspected && now - probe.started >= m_probeTimeout) {
            probe.suspected = true;
            probe.suspectedAt = now;
            steps.suspected.push_back(probe.target);
        }
        if (isDead(probe, now, context))
            steps.dead.push_back(probe.target);
        else if (now >= probe.nextSend)
            send(probe, now, steps);
    }
    return steps;
}

void Probes::clear()
{
    m_probes.clear();
}

bool Probes::isDead(const Probe &probe, Instant now, const SuspicionContext &context) const
{
    if (!probe.suspected || now - probe.suspectedAt < m_suspicionTimeout)
        return false;
    if (probe.confirmed || context.others == 0)
        return true;
    // No confirmation and no datagram from any member: this VM is isolated, and continues alone.
    return context.lastReceived < probe.suspectedAt
           && now - probe.suspectedAt >= m_isolationTimeout;
}

void Probes::send(Probe &probe, Instant now, ProbeSteps &steps) const
{
    // After the direct pings, every other ping is also sent through helpers, which need time to
    // answer.
    const bool alsoViaHelpers = probe.sends >= directSends && probe.sends % 2 == 0;
    steps.sends.push_back({probe.target, probe.sequence, alsoViaHelpers});
    ++probe.sends;
    probe.nextSend = now + m_resendAfter;
}

} // namespace fescuespring::detail
