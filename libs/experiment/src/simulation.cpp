#include "simulation.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fescuespring::detail {

Simulation::Simulation(const QueueExperimentOptions &options)
    : m_options(options)
    , m_database(m_loop, options.load.slots, options.load.connectionLimit, options.load.openCost)
    , m_recorder(options.load)
    , m_random(options.seed)
{
    switch (options.policy) {
    case QueuePolicy::Product:
        addOwners(1);
        break;
    case QueuePolicy::TwoOwners:
        addOwners(2);
        break;
    case QueuePolicy::Naive:
        addNaiveVms();
        break;
    case QueuePolicy::Split:
        addSplitVms();
        break;
    }
}

Span Simulation::run(Duration length, const OfferedLoad &offeredLoad)
{
    const Span span{m_loop.now(), m_loop.now() + length};
    const auto &streams = m_options.load.streams;
    for (std::uint32_t stream = 0; stream < streams.size(); ++stream) {
        const double offered = offeredLoad(streams[stream]) * m_options.load.slots;
        if (offered <= 0.0)
            continue;
        const double mean = static_cast<double>(streams[stream].meanService().count());
        scheduleArrival(stream, span.end, Duration(static_cast<Duration::rep>(mean / offered)));
    }
    m_loop.runUntil(span.end);
    return span;
}

void Simulation::drain(Duration length)
{
    m_loop.runUntil(m_loop.now() + length);
    m_recorder.setEnd(m_loop.now());
}

// Every VM forwards to an owner, one owner per VM in turn; a VM in another data centre forwards
// through the owner of its own data centre, one hop more.
void Simulation::addOwners(std::uint32_t count)
{
    const DatabaseLoad &load = m_options.load;
    for (std::uint32_t i = 0; i < count; ++i) {
        m_proxies.push_back(makeOwner(load.slots, m_options.scheduler.spare, load.connectionLimit,
                                      load.localDelay));
    }
    for (std::uint32_t vm = 0; vm < load.vms(); ++vm) {
        const bool isOwner = vm < count;
        const bool isLocal = vm < load.vmsPerDataCentre;
        const Duration hop = isLocal ? load.localDelay : load.localDelay + load.dataCentreDelay;
        m_entries.push_back({isOwner ? Duration(0) : hop, m_proxies[vm % count].get()});
    }
}

void Simulation::addNaiveVms()
{
    const DatabaseLoad &load = m_options.load;
    const std::uint32_t connections = std::max(load.connectionLimit / load.vms(), 1U);
    for (std::uint32_t vm = 0; vm < load.vms(); ++vm) {
        m_proxies.push_back(
                std::make_unique<NaiveProxy>(m_loop, m_database, delayToDatabase(vm), connections));
        m_entries.push_back({Duration(0), m_proxies.back().get()});
    }
}

void Simulation::addSplitVms()
{
    const DatabaseLoad &load = m_options.load;
    const std::uint32_t connections = std::max(load.connectionLimit / load.vms(), 1U);
    for (std::uint32_t vm = 0; vm < load.vms(); ++vm) {
        m_proxies.push_back(makeOwner(1, 0, connections, delayToDatabase(vm)));
        m_entries.push_back({Duration(0), m_proxies.back().get()});
    }
}

std::unique_ptr<Proxy> Simulation::makeOwner(std::uint32_t slots, std::uint32_t spare,
                                             std::uint32_t connections, Duration databaseDelay)
{
    SchedulerOptions scheduler = m_options.scheduler;
    scheduler.slots = slots;
    scheduler.spare = spare;
    PoolOptions pool = m_options.pool;
    pool.limit = connections;
    pool.minimum = std::min(pool.minimum, connections);
    return std::make_unique<OwnerProxy>(m_loop, m_database, databaseDelay, scheduler, pool,
                                        m_options.load.plans);
}

Duration Simulation::delayToDatabase(std::uint32_t vm) const
{
    const DatabaseLoad &load = m_options.load;
    return vm < load.vmsPerDataCentre ? load.localDelay : load.dataCentreDelay;
}

void Simulation::scheduleArrival(std::uint32_t stream, Instant end, Duration meanGap)
{
    const Duration gap = exponential(meanGap);
    if (m_loop.now() + gap >= end)
        return;
    m_loop.after(gap, [this, stream, end, meanGap] {
        sendRequest(stream);
        scheduleArrival(stream, end, meanGap);
    });
}

void Simulation::sendRequest(std::uint32_t stream)
{
    const DatabaseLoad &load = m_options.load;
    const CallerStream &callers = load.streams[stream];
    const Duration service = callers.minimumService + exponential(callers.meanExtraService);
    const Instant deadline = m_loop.now() + callers.deadline;
    const std::size_t sample = m_recorder.recordArrival(stream, service, m_loop.now(), deadline);

    const std::uint32_t vms = callers.vms == 0 ? load.vms() : callers.vms;
    const Entry entry = m_entries[m_random() % vms];
    const std::uint64_t customer = m_random() % callers.customers;
    const Duration pathDelay = load.callerDelay + entry.delay;

    ProxyRequest request;
    request.plan = callers.plan;
    request.customer = CustomerId(callers.name + "-" + std::to_string(customer));
    request.length = callers.length;
    request.fingerprint = stream + 1;
    request.deadline = deadline - pathDelay;
    request.service = service;
    request.done = [this, sample, pathDelay](Reason refusal) {
        m_loop.after(pathDelay, [this, sample, refusal] {
            m_recorder.recordAnswer(sample, refusal, m_loop.now());
        });
    };
    m_loop.after(pathDelay,
                 [entry, request = std::move(request)] { entry.proxy->submit(request); });
}

Duration Simulation::exponential(Duration mean)
{
    constexpr double smallest = 1e-12;
    const double uniform = std::uniform_real_distribution<>(smallest, 1.0)(m_random);
    const double time = -std::log(uniform) * static_cast<double>(mean.count());
    return Duration(static_cast<Duration::rep>(time));
}

} // namespace fescuespring::detail
