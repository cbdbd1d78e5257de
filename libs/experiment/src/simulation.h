#pragma once

#include "databasequeue.h"
#include "eventloop.h"
#include "experiment/experiment.h"
#include "proxy.h"
#include "recorder.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <vector>

namespace fescuespring::detail {

// Returns the load offered by a stream as a share of capacity.
using OfferedLoad = std::function<double(const CallerStream &)>;

// The callers, entry VMs and database of one experiment.
class Simulation
{
public:
    explicit Simulation(const QueueExperimentOptions &options);

    // Runs a phase of open-loop load and returns its time span.
    Span run(Duration length, const OfferedLoad &offeredLoad);

    // Continues the run without new requests.
    void drain(Duration length);

    const Recorder &recorder() const
    {
        return m_recorder;
    }
    std::uint32_t maximumConnections() const
    {
        return m_database.maximumConnections();
    }

private:
    // The proxy that receives the requests of an entry VM, and the one-way delay to it.
    struct Entry
    {
        Duration delay{0};
        Proxy *proxy = nullptr;
    };

    void addOwners(std::uint32_t count);
    void addNaiveVms();
    void addSplitVms();
    std::unique_ptr<Proxy> makeOwner(std::uint32_t slots, std::uint32_t spare,
                                     std::uint32_t connections, Duration databaseDelay);
    Duration delayToDatabase(std::uint32_t vm) const;
    void scheduleArrival(std::uint32_t stream, Instant end, Duration meanGap);
    void sendRequest(std::uint32_t stream);
    Duration exponential(Duration mean);

    QueueExperimentOptions m_options;
    EventLoop m_loop;
    DatabaseQueue m_database;
    Recorder m_recorder;
    std::vector<std::unique_ptr<Proxy>> m_proxies;
    std::vector<Entry> m_entries;
    std::mt19937_64 m_random;
};

} // namespace fescuespring::detail
