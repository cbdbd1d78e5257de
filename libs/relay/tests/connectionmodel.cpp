#include "connectionmodel.h"

#include <algorithm>

namespace fescuespring {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t customerCount = 78;
constexpr std::size_t databaseCount = 24;
constexpr std::size_t ownerCount = 5;
constexpr std::uint32_t connectionsPerOwner = 11;
constexpr std::size_t reservedCustomers = 50;
constexpr Duration modelTime = 10s;
constexpr Duration latencyTarget = 300ms;
constexpr Duration maximumHold = 600ms;

// Customers beyond this rank count as small.
constexpr std::size_t firstSmall = 52;

CustomerId customerAt(std::size_t rank)
{
    return CustomerId("customer-" + std::to_string(rank));
}

std::map<CustomerId, double> usualRates(double operationsPerSecond)
{
    double sum = 0;
    for (std::size_t rank = 0; rank < customerCount; ++rank)
        sum += std::pow(static_cast<double>(rank + 1), -1.2);
    std::map<CustomerId, double> rates;
    for (std::size_t rank = 0; rank < customerCount; ++rank) {
        rates[customerAt(rank)] =
                operationsPerSecond * std::pow(static_cast<double>(rank + 1), -1.2) / sum;
    }
    return rates;
}

// One database, its owners, and the operations of all customers on it.
class Model
{
public:
    Model(const ModelOptions &options, std::size_t database)
        : m_options(options)
        , m_random(1000 + database)
        , m_rates(usualRates(options.operationsPerSecond))
        , m_shares(m_rates)
        , m_owners(DatabaseId("database-" + std::to_string(database)), vms())
    {
        const bool isReserved = options.assignment == Assignment::Reserved;
        const std::size_t pools = isReserved ? reservedCustomers + ownerCount : ownerCount;
        for (std::size_t i = 0; i < pools; ++i)
            addPool(isReserved ? 1 : connectionsPerOwner);
    }

    ~Model()
    {
        for (const auto &pool : m_pools)
            pool->close();
    }
    Model(const Model &) = delete;
    Model &operator=(const Model &) = delete;

    void run()
    {
        for (std::size_t rank = 0; rank < customerCount; ++rank)
            arrive(rank);
        timers.advance(modelTime);
        // All leases must have ended before the timers and pools are destroyed.
        m_isStopping = true;
        timers.advance(10s);
    }

    VirtualTimers timers;
    SlotDatabase database{timers};
    std::uint64_t started = 0;
    std::uint64_t good = 0;
    std::uint64_t othersStarted = 0;
    std::uint64_t othersGood = 0;
    std::uint64_t smallStarted = 0;
    std::uint64_t smallGood = 0;
    std::vector<Duration> smallWaits;

private:
    struct Operation
    {
        std::size_t rank = 0;
        int statements = 1;
        Instant issuedAt = {};
        bool isLate = false;
        std::shared_ptr<DatabasePool> pool = {};
        LinkLease lease = {};
    };
    using OperationPtr = std::shared_ptr<Operation>;

    static std::vector<VmRecord> vms()
    {
        std::vector<VmRecord> records;
        for (std::size_t i = 0; i < ownerCount; ++i)
            records.push_back(
                    {.vm = VmId(std::to_string(i)), .dataCentre = {}, .peers = {}, .relay = {}});
        return records;
    }

    void addPool(std::uint32_t maximum)
    {
        DatabasePoolOptions options{.target = {GroupId("group"), DatabaseId("database"), {}}};
        if (m_options.assignment == Assignment::Ungrouped)
            options.groupingWindow = -1s;
        m_pools.push_back(DatabasePool::make(timers, database.connector(), options));
        m_pools.back()->setLimits(1, maximum, maximum == 1 ? 1 : 1.5);
        m_pools.back()->serveCustomers(
                true, [this](const CustomerId &customer) { return m_shares.weight(customer); });
    }

    std::shared_ptr<DatabasePool> poolOf(std::size_t rank)
    {
        if (m_options.assignment == Assignment::Reserved && rank < reservedCustomers)
            return m_pools[ownerCount + rank];
        if (m_options.assignment == Assignment::AnyOwner)
            return m_pools[m_random() % ownerCount];
        const CustomerId customer = customerAt(rank);
        const bool spreads = m_options.assignment != Assignment::OneOwnerEach;
        const auto order = m_owners.order(customer, spreads ? m_shares.share(customer) : 0,
                                          VmId("asking-" + std::to_string(m_random() % 72)));
        return m_pools[std::stoul(order.front()->vm.value())];
    }

    void arrive(std::size_t rank)
    {
        const bool surges = rank == m_options.surging;
        const double rate = m_rates.at(customerAt(rank)) * (surges ? m_options.surge : 1);
        const double seconds = std::exponential_distribution<>(rate)(m_random);
        timers.after(Duration(static_cast<Duration::rep>(seconds * 1e6)), [this, rank] {
            if (m_isStopping)
                return;
            start(rank);
            arrive(rank);
        });
    }

    // Three of ten operations are transactions of up to twelve statements.
    void start(std::size_t rank)
    {
        const auto operation = std::make_shared<Operation>();
        operation->rank = rank;
        operation->statements = m_random() % 10 < 3 ? 1 + static_cast<int>(m_random() % 12) : 1;
        operation->issuedAt = timers.now();
        ++started;
        othersStarted += rank != m_options.surging ? 1 : 0;
        smallStarted += rank >= firstSmall ? 1 : 0;
        operation->pool = poolOf(rank);
        const LinkRequest request{
                .context = &m_session, .customer = customerAt(rank), .priority = 1};
        if (LinkLease lease = operation->pool->tryAcquire(request)) {
            granted(operation, std::move(lease));
            return;
        }
        const LinkPool::TicketId ticket =
                operation->pool->wait(request, [this, operation](LinkLease lease) {
                    granted(operation, std::move(lease));
                });
        timers.after(maximumHold, [operation, ticket] { operation->pool->cancel(ticket); });
    }

    void granted(const OperationPtr &operation, LinkLease lease)
    {
        operation->lease = std::move(lease);
        if (operation->rank >= firstSmall)
            smallWaits.push_back(timers.now() - operation->issuedAt);
        runNext(operation);
    }

    void runNext(const OperationPtr &operation)
    {
        const double work = std::exponential_distribution<>(1 / 12'000.0)(m_random);
        const std::string argument = std::to_string(static_cast<long>(work) + 500);
        const LinkCommand command{
                .command = {.statement = {.kind = StatementKind::Read, .argument = argument}},
                .context = &m_session};
        operation->lease->run(command,
                              [this, weak = std::weak_ptr(operation)](const LinkOutcome &) {
                                  if (const auto ran = weak.lock())
                                      answered(ran);
                              });
        m_running[operation.get()] = operation;
    }

    void answered(const OperationPtr &operation)
    {
        m_running.erase(operation.get());
        operation->isLate = operation->isLate || timers.now() - operation->issuedAt > latencyTarget;
        if (--operation->statements == 0) {
            operation->lease.release();
            good += operation->isLate ? 0 : 1;
            othersGood += operation->isLate || operation->rank == m_options.surging ? 0 : 1;
            smallGood += operation->isLate || operation->rank < firstSmall ? 0 : 1;
            return;
        }
        timers.after(2ms, [this, operation] {
            operation->issuedAt = timers.now();
            runNext(operation);
        });
    }

    ModelOptions m_options;
    std::mt19937_64 m_random;
    std::map<CustomerId, double> m_rates;
    CustomerShares m_shares;
    CustomerOwners m_owners;
    SessionContext m_session;
    std::vector<std::shared_ptr<DatabasePool>> m_pools;
    std::map<Operation *, OperationPtr> m_running;
    bool m_isStopping = false;
};

double ratio(double part, double whole)
{
    return whole > 0 ? part / whole : 0;
}

} // namespace

ModelResult runConnectionModel(const ModelOptions &options)
{
    ModelResult result;
    double opened = 0;
    double started = 0;
    double good = 0;
    double othersStarted = 0;
    double othersGood = 0;
    double smallStarted = 0;
    double smallGood = 0;
    Duration openings{0};
    std::vector<Duration> waits;
    for (std::size_t database = 0; database < databaseCount; ++database) {
        Model model(options, database);
        model.run();
        opened += static_cast<double>(model.database.opened);
        openings += model.database.usedByOpenings;
        started += static_cast<double>(model.started);
        good += static_cast<double>(model.good);
        othersStarted += static_cast<double>(model.othersStarted);
        othersGood += static_cast<double>(model.othersGood);
        smallStarted += static_cast<double>(model.smallStarted);
        smallGood += static_cast<double>(model.smallGood);
        waits.insert(waits.end(), model.smallWaits.begin(), model.smallWaits.end());
        result.maximumConnections =
                std::max(result.maximumConnections, model.database.maximumConnections);
    }
    const double databaseSeconds = databaseCount * std::chrono::duration<double>(modelTime).count();
    result.openedPerSecond = opened / databaseSeconds;
    result.openingShare = std::chrono::duration<double>(openings).count()
                          / (databaseSeconds * SlotDatabase::slots);
    result.goodput = ratio(good, started);
    result.othersGoodput = ratio(othersGood, othersStarted);
    result.smallGoodput = ratio(smallGood, smallStarted);
    std::ranges::sort(waits);
    Duration sum{0};
    for (const Duration wait : waits)
        sum += wait;
    if (!waits.empty()) {
        result.smallWait = sum / static_cast<Duration::rep>(waits.size());
        result.smallWait99 = waits[waits.size() * 99 / 100];
    }
    return result;
}

} // namespace fescuespring
