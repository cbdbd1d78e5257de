#include "workload/arrivals.h"

#include <cmath>
#include <map>
#include <random>
#include <string>

namespace fescuespring {

namespace {

// Number of keys that requests without a key of their own are spread over.
constexpr std::uint32_t sharedKeys = 1000;

// Portable random numbers; the standard distributions differ between implementations.
class Random
{
public:
    explicit Random(std::uint64_t seed)
        : m_engine(seed)
    {}

    // In the range [0, 1).
    double fraction()
    {
        constexpr int droppedBits = 11;
        constexpr double steps = 9007199254740992.0;
        return static_cast<double>(m_engine() >> droppedBits) / steps;
    }

    std::uint32_t below(std::uint32_t end)
    {
        return static_cast<std::uint32_t>(fraction() * end);
    }

    // Time to the next event of a Poisson process.
    Duration gap(double perSecond)
    {
        const std::chrono::duration<double> seconds(-std::log1p(-fraction()) / perSecond);
        return std::chrono::duration_cast<Duration>(seconds);
    }

private:
    std::mt19937_64 m_engine;
};

class Planner
{
public:
    Planner(const LoadWorkload &workload, const ArrivalOptions &options)
        : m_workload(workload)
        , m_options(options)
        , m_random(options.seed)
    {
        std::map<CustomerId, std::uint32_t> firstSessions;
        for (const RequestClass &requestClass : workload.classes) {
            const auto next = static_cast<std::uint32_t>(firstSessions.size()) * options.sessions;
            m_firstSession.push_back(
                    firstSessions.try_emplace(requestClass.customer, next).first->second);
            m_shares += requestClass.share;
        }
        m_lastEntry.resize(firstSessions.size() * options.sessions);
        m_ownWrites.resize(m_lastEntry.size());
        for (std::uint32_t &entry : m_lastEntry)
            entry = m_random.below(options.entries);
    }

    std::vector<Arrival> plan()
    {
        for (std::size_t i = 0; i < m_options.steps.size(); ++i) {
            const bool isLast = i + 1 == m_options.steps.size();
            planStep(m_options.steps[i], isLast ? m_options.length : m_options.steps[i + 1].from);
        }
        return std::move(m_plan);
    }

private:
    void planStep(const RateStep &step, Duration end)
    {
        if (step.perSecond <= 0)
            return;
        for (Duration at = step.from + m_random.gap(step.perSecond); at < end;
             at += m_random.gap(step.perSecond))
            m_plan.push_back(arrivalAt(at));
    }

    Arrival arrivalAt(Duration at)
    {
        Arrival arrival;
        arrival.at = at;
        arrival.requestClass = drawClass();
        arrival.session = m_firstSession[arrival.requestClass] + m_random.below(m_options.sessions);
        arrival.entry = drawEntry(arrival.session);
        fillRequest(arrival, m_workload.classes[arrival.requestClass]);
        return arrival;
    }

    std::size_t drawClass()
    {
        double remaining = m_random.fraction() * m_shares;
        std::size_t index = 0;
        while (index + 1 < m_workload.classes.size()
               && remaining >= m_workload.classes[index].share) {
            remaining -= m_workload.classes[index].share;
            ++index;
        }
        return index;
    }

    std::uint32_t drawEntry(std::uint32_t session)
    {
        if (m_random.fraction() < m_options.roaming)
            m_lastEntry[session] = m_random.below(m_options.entries);
        return m_lastEntry[session];
    }

    void fillRequest(Arrival &arrival, const RequestClass &requestClass)
    {
        CallerRequest &request = arrival.request;
        request.customer = requestClass.customer;
        request.session = SessionId("s" + std::to_string(arrival.session));
        request.group = m_workload.groups[arrival.session % m_workload.groups.size()];
        request.access = requestClass.access;
        request.idempotent = requestClass.idempotent;
        request.deadline = requestClass.deadline;
        request.maximumAge = requestClass.maximumAge;
        request.length = requestClass.length;
        request.id = RequestId("r" + std::to_string(m_options.seed) + "-"
                               + std::to_string(m_plan.size()));
        if (requestClass.ownKey)
            arrival.ownSequence = nextOwnSequence(arrival.session, requestClass.access);
        for (std::uint32_t i = 0; i < requestClass.statements; ++i)
            request.statements.push_back(statement(arrival, requestClass));
    }

    std::uint64_t nextOwnSequence(std::uint32_t session, Access access)
    {
        if (access == Access::Write)
            ++m_ownWrites[session];
        return m_ownWrites[session];
    }

    std::string statement(const Arrival &arrival, const RequestClass &requestClass)
    {
        const std::chrono::duration<double, std::milli> work = requestClass.work;
        const std::string prefix =
                work.count() > 0 ? "work=" + std::to_string(work.count()) + " " : "";
        const bool writes = requestClass.access == Access::Write;
        if (requestClass.ownKey) {
            const std::string key = "own-" + m_options.keySpace + std::to_string(arrival.session);
            return prefix
                   + (writes ? "set " + key + " " + std::to_string(arrival.ownSequence)
                             : "get " + key);
        }
        const std::string key =
                requestClass.name + "/" + std::to_string(m_random.below(sharedKeys));
        if (!writes)
            return prefix + "get " + key;
        if (requestClass.idempotent)
            return prefix + "set " + key + " " + requestId(arrival);
        return prefix + "add " + key + " 1";
    }

    static std::string requestId(const Arrival &arrival)
    {
        return arrival.request.id.value();
    }

    const LoadWorkload &m_workload;
    const ArrivalOptions &m_options;
    Random m_random;
    double m_shares = 0;

    // First session of the customer of each class.
    std::vector<std::uint32_t> m_firstSession;
    std::vector<std::uint32_t> m_lastEntry;
    std::vector<std::uint64_t> m_ownWrites;
    std::vector<Arrival> m_plan;
};

} // namespace

std::vector<Arrival> planArrivals(const LoadWorkload &workload, const ArrivalOptions &options)
{
    if (workload.classes.empty() || options.sessions == 0 || options.entries == 0)
        return {};
    return Planner(workload, options).plan();
}

} // namespace fescuespring
