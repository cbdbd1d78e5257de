#pragma once

#include "fescuebench/benchoptions.h"
#include "fescuebench/requestsender.h"
#include "messages/upstream.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace fescuespring {

// Database connections to one database, with one queue in order of arrival and no bound. Loop
// thread only.
class NaivePool
{
public:
    NaivePool(EventLoop &loop, const Endpoint &database, std::size_t connections);
    NaivePool(const NaivePool &) = delete;
    NaivePool &operator=(const NaivePool &) = delete;

    // Runs the request's statements, as a transaction where there are several.
    void send(const CallerRequest &request, Term term, CallerCallback callback);

private:
    struct Job
    {
        CallerRequest request;
        Term term;
        CallerCallback callback;

        // Calls sent so far, and what their statements gave.
        std::size_t calls = 0;
        std::vector<std::string> results = {};
    };

    struct Connection
    {
        std::unique_ptr<HttpConnection> http;
        std::optional<Job> job;
    };

    void open(Connection &connection);
    void openLater(Connection &connection);
    void take(Connection &connection);
    void sendCall(Connection &connection);
    void answered(Connection &connection, const Result<HttpResponse> &result);
    void finish(Connection &connection, const CallerResult &result);
    static StatementCall nextCall(const Job &job);
    static bool isLastCall(const Job &job);

    EventLoop &m_loop;
    std::vector<std::unique_ptr<Connection>> m_connections;
    std::deque<Connection *> m_idle;
    std::deque<Job> m_waiting;

    // Expires with the pool, so that late timers find out.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

// Callers that hold database connections of their own and send each request straight to one
// database: the least that any proxy could take.
class DirectSender : public RequestSender
{
public:
    // Term is the one that the database is primary of.
    DirectSender(EventLoop &loop, const BenchDatabase &database, Term term,
                 std::size_t connections);

    void send(std::size_t entry, const CallerRequest &request, CallerCallback callback) override;

private:
    NaivePool m_pool;
    Term m_term;
};

// The naive policy, without the hop from caller to VM: every VM has its own pool to every database
// with its part of the connections; writes go to the database that last called itself primary,
// reads to the databases in turn. No tokens, no evidence, no plans, no deadlines.
class NaiveSender : public RequestSender
{
public:
    NaiveSender(EventLoop &loop, const std::vector<BenchDatabase> &databases, std::size_t vms,
                std::size_t connections);
    ~NaiveSender() override;

    void send(std::size_t entry, const CallerRequest &request, CallerCallback callback) override;

private:
    struct Database
    {
        BenchDatabase place;
        std::unique_ptr<HttpConnection> probe;

        // One for each VM.
        std::vector<std::unique_ptr<NaivePool>> pools;
    };

    struct Group
    {
        std::vector<Database> databases;
        std::size_t primary = 0;
        Term term;
        std::size_t nextRead = 0;
    };

    void probe();
    void probeDatabase(Group &group, std::size_t place);

    EventLoop &m_loop;
    std::map<GroupId, Group> m_groups;
    std::size_t m_vms;
    EventLoop::TimerId m_timer = 0;
};

} // namespace fescuespring
