#pragma once

#include "fescuesoak/faultylink.h"
#include "fescuesoak/soak.h"
#include "platformstandins/estate.h"

#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace fescuespring {

// The ways between VMs and what stands behind them.
struct SoakLinks
{
    std::unique_ptr<FaultyLink> store;
    std::vector<std::unique_ptr<FaultyLink>> databases;
};

// Draws faults from a seed, brings them about and ends each of them after a time. Several are on at
// once; the same VM may be hit by several.
class Faults
{
public:
    Faults(EventLoop &loop, const SoakOptions &options, Estate &estate, SoakLinks &links);
    ~Faults();
    Faults(const Faults &) = delete;
    Faults &operator=(const Faults &) = delete;

    // Faults from now on until mendAll.
    void begin();

    // Ends everything that is on and starts what does not run.
    void mendAll();

    // VMs whose process runs, so that callers may connect to them.
    std::vector<SoakVm> runningVms() const;

private:
    void next();
    void strike();
    void strikeProcess();
    void strikeLink();
    void strikeStore();
    void strikeDatabase();
    void split(const std::string &database, Duration time);
    void startVm(const std::string &vm);
    void mendLinks(const SoakVm &vm);
    void later(Duration delay, const std::function<void()> &task);
    Duration drawTime(std::chrono::milliseconds least, std::chrono::milliseconds most);
    std::size_t draw(std::size_t count);
    std::string drawDatabase();
    void say(const std::string &line);
    void order(ProcessOrder order, const std::string &vm);

    EventLoop &m_loop;
    const SoakOptions &m_options;
    Estate &m_estate;
    SoakLinks &m_links;
    std::mt19937_64 m_random;
    std::set<std::string> m_stopped;
    std::set<std::string> m_paused;
    std::set<std::string> m_crashed;
    std::set<std::string> m_slowed;

    // Tasks of an earlier stage do nothing.
    std::uint64_t m_stage = 0;
};

} // namespace fescuespring
