#pragma once

#include "relay/customerowners.h"
#include "support/virtualtimers.h"
#include "upstreampool/databasepool.h"

#include <cmath>
#include <deque>
#include <random>
#include <string>
#include <vector>

namespace fescuespring {

// A database with slots, a connection limit, and openings that occupy a slot for 12 ms. The time of
// a statement in its slot is its argument, in microseconds.
class SlotDatabase
{
public:
    static constexpr unsigned slots = 5;
    static constexpr std::size_t connectionLimit = 60;
    static constexpr Duration openingTime = std::chrono::milliseconds(12);
    static constexpr Duration network = std::chrono::microseconds(500);

    explicit SlotDatabase(VirtualTimers &timers)
        : m_timers(timers)
    {}

    UpstreamConnector connector()
    {
        return [this](const UpstreamTarget &, UpstreamChannelHandlers handlers) {
            return std::make_unique<Channel>(*this, std::move(handlers));
        };
    }

    Duration usedByStatements{0};
    Duration usedByOpenings{0};
    std::size_t connections = 0;
    std::size_t maximumConnections = 0;
    std::uint64_t opened = 0;

private:
    class Channel : public UpstreamChannel
    {
    public:
        Channel(SlotDatabase &database, UpstreamChannelHandlers handlers)
            : m_database(database)
            , m_handlers(std::move(handlers))
        {
            later(network, [this] { open(); });
        }

        ~Channel() override
        {
            m_database.connections -= m_isCounted ? 1 : 0;
        }
        Channel(const Channel &) = delete;
        Channel &operator=(const Channel &) = delete;

        void send(const std::vector<UpstreamCommand> &commands) override
        {
            for (const UpstreamCommand &command : commands) {
                const auto &argument = command.statement.argument;
                const Duration work(argument.empty() ? 0 : std::stoll(argument));
                later(network, [this, work] { enqueue(work, [this] { reply(); }); });
            }
        }

    private:
        void open()
        {
            if (m_database.connections >= connectionLimit) {
                m_handlers.onClosed({.code = ErrorCode::Refused, .message = "full"});
                return;
            }
            m_isCounted = true;
            ++m_database.opened;
            ++m_database.connections;
            m_database.maximumConnections =
                    std::max(m_database.maximumConnections, m_database.connections);
            m_database.usedByOpenings += openingTime;
            enqueue(openingTime, [this] { m_handlers.onOpened({.signature = "-"}); });
        }

        void reply()
        {
            m_handlers.onReply({.rows = {"row"}, .signature = "-"});
        }

        void enqueue(Duration work, const std::function<void()> &done)
        {
            m_database.m_queue.push_back({work, std::weak_ptr(m_alive), [this, work, done] {
                                              if (work != openingTime)
                                                  m_database.usedByStatements += work;
                                              later(network, done);
                                          }});
            m_database.startNext();
        }

        void later(Duration delay, const std::function<void()> &task)
        {
            m_database.m_timers.after(delay, [alive = std::weak_ptr(m_alive), task] {
                if (!alive.expired())
                    task();
            });
        }

        SlotDatabase &m_database;
        UpstreamChannelHandlers m_handlers;
        bool m_isCounted = false;
        std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    };

    struct Job
    {
        Duration work;
        std::weak_ptr<bool> alive;
        std::function<void()> done;
    };

    void startNext()
    {
        while (m_running < slots && !m_queue.empty()) {
            const Job job = std::move(m_queue.front());
            m_queue.pop_front();
            ++m_running;
            m_timers.after(job.work, [this, job] {
                --m_running;
                if (!job.alive.expired())
                    job.done();
                startNext();
            });
        }
    }

    VirtualTimers &m_timers;
    std::deque<Job> m_queue;
    unsigned m_running = 0;
};

// How the connections of one database are assigned to customers.
enum class Assignment {
    // Any owner for any customer; the least recently used connection is closed.
    AnyOwner,
    // The owner is chosen by customer and database.
    OwnerByCustomer,
    // The same, but a large customer uses one owner too.
    OneOwnerEach,
    // The same as OwnerByCustomer, but a freed connection always serves the next in the queue.
    Ungrouped,
    // One connection for each of the 50 largest customers, five shared by the others.
    Reserved,
};

struct ModelOptions
{
    Assignment assignment = Assignment::OwnerByCustomer;
    double operationsPerSecond = 70;

    // Multiple of its usual demand, and the rank of the customer that has it.
    double surge = 1;
    std::size_t surging = 2;
};

struct ModelResult
{
    double openedPerSecond = 0;
    double openingShare = 0;
    double goodput = 0;

    // Of all customers but the surging one.
    double othersGoodput = 0;
    double smallGoodput = 0;
    Duration smallWait{0};
    Duration smallWait99{0};
    std::size_t maximumConnections = 0;
};

ModelResult runConnectionModel(const ModelOptions &options);

} // namespace fescuespring
