#include "relay/relayserver.h"

#include "net/linecutter.h"

#include <algorithm>
#include <map>
#include <utility>

namespace fescuespring {

namespace {

constexpr std::chrono::milliseconds unacknowledgedTimeout{3000};

// Interval at which the figures for a statement that waits beyond its hold time are checked.
constexpr Duration holdRecheck = std::chrono::milliseconds(25);

constexpr const char *cannotStartReason = "cannot start in time";

} // namespace

struct RelayServer::Data : std::enable_shared_from_this<RelayServer::Data>
{
    class Peer;

    Data(Timers &vmTimers, Counters &counters, Hooks vmHooks)
        : timers(vmTimers)
        , hooks(std::move(vmHooks))
        , statements(counters.counter("fescuespring_relayed_statements_total"))
        , refusals(counters.counter("fescuespring_relay_refusals_total"))
        , keyRefusals(counters.counter("fescuespring_relay_key_refusals_total"))
        , expectedLate(counters.counter("fescuespring_relay_expected_late_total"))
    {}

    void accepted(std::unique_ptr<TcpStream> stream);
    void drop(std::uint64_t number);

    Timers &timers;
    Hooks hooks;
    Counter &statements;
    Counter &refusals;
    Counter &keyRefusals;

    // Refusals of statements that the figures show not to start in time.
    Counter &expectedLate;
    std::unique_ptr<TcpListener> listener;
    std::map<std::uint64_t, std::shared_ptr<Peer>> peers;
    std::uint64_t lastNumber = 0;
};

// One VM that borrows connections.
class RelayServer::Data::Peer : public std::enable_shared_from_this<Peer>
{
public:
    Peer(Data &server, std::uint64_t number, std::unique_ptr<TcpStream> stream)
        : m_server(server)
        , m_number(number)
        , m_stream(std::move(stream))
    {
        m_stream->setHandlers({.onBytes = [this](std::string_view bytes) { received(bytes); },
                               .onClosed =
                                       [this](const Error &) {
                                           m_server.drop(m_number);
                                       }});
    }

    ~Peer()
    {
        for (auto &[number, loan] : m_loans)
            endLoan(*loan);
    }

    Peer(const Peer &) = delete;
    Peer &operator=(const Peer &) = delete;

    std::size_t loanCount() const
    {
        const auto count = std::ranges::count_if(
                m_loans, [](const auto &loan) { return static_cast<bool>(loan.second->lease); });
        return static_cast<std::size_t>(count);
    }

private:
    // A connection that the borrower holds or waits for.
    struct Loan
    {
        std::shared_ptr<LinkPool> pool;
        LinkLease lease = {};
        LinkPool::TicketId ticket = 0;
        Timers::Id timeoutTimer = 0;
        Instant arrivedAt = {};
        RelayMessage request = {};
        SessionContext context = {};
    };

    void received(std::string_view bytes)
    {
        const auto self = shared_from_this();
        if (!m_lines.append(bytes)) {
            m_server.drop(m_number);
            return;
        }
        while (const auto line = m_lines.next()) {
            Result<RelayMessage> message = decodeRelayMessage(*line);
            if (!message) {
                m_server.drop(m_number);
                return;
            }
            handle(std::move(message.value()));
        }
    }

    void handle(RelayMessage message)
    {
        switch (message.kind) {
        case RelayMessage::Kind::Ping:
            m_stream->send(encodeRelayMessage({.kind = RelayMessage::Kind::Pong}));
            break;
        case RelayMessage::Kind::Release:
            release(message.lease);
            break;
        case RelayMessage::Kind::Run:
            run(std::move(message));
            break;
        case RelayMessage::Kind::AllowanceRequest:
            handleAllowance(message);
            break;
        default:
            m_server.drop(m_number);
            break;
        }
    }

    void handleAllowance(const RelayMessage &message)
    {
        const auto answer = [weak = weak_from_this(),
                             lease = message.lease](const AllowanceAnswer &answered) {
            if (const auto self = weak.lock()) {
                self->m_stream->send(
                        encodeRelayMessage({.kind = RelayMessage::Kind::AllowanceAnswer,
                                            .lease = lease,
                                            .allowanceAnswer = answered}));
            }
        };
        if (m_server.hooks.handleAllowance)
            m_server.hooks.handleAllowance(message.allowanceRequest, answer);
        else
            answer({});
    }

    void run(RelayMessage message)
    {
        m_server.statements.add();
        std::shared_ptr<Loan> &loan = m_loans[message.lease];
        if (!loan)
            loan = std::make_shared<Loan>();
        loan->context = SessionContext(std::move(message.values));
        loan->request = std::move(message);
        if (loan->lease)
            start(loan);
        else
            borrow(loan);
    }

    void borrow(const std::shared_ptr<Loan> &loan)
    {
        loan->pool = m_server.hooks.poolOf(loan->request.database);
        if (!loan->pool) {
            refuse(loan, "this VM has no connections to the database");
            return;
        }
        const LinkRequest request{.context = loan->request.hasValues ? &loan->context : nullptr,
                                  .customer = loan->request.customer,
                                  .priority = loan->request.priority};
        if (LinkLease lease = loan->pool->tryAcquire(request)) {
            loan->lease = std::move(lease);
            start(loan);
            return;
        }
        loan->arrivedAt = m_server.timers.now();
        const auto &limits = loan->request.limits;
        const bool isHeldAlready = limits && limits->hold == Duration(0);
        if (cannotStart(*loan, isHeldAlready ? StartCheck::HoldEnd : StartCheck::Arrival)) {
            m_server.expectedLate.add();
            refuse(loan, cannotStartReason);
            return;
        }
        scheduleTimeout(loan);
        loan->ticket =
                loan->pool->wait(request, [this, weak = std::weak_ptr(loan)](LinkLease lease) {
                    const auto granted = weak.lock();
                    if (!granted)
                        return;
                    granted->ticket = 0;
                    granted->lease = std::move(lease);
                    start(granted);
                });
    }

    static LinkRequest requirement(const RelayMessage &request)
    {
        return {.customer = request.customer, .priority = request.priority};
    }

    bool cannotStart(const Loan &loan, StartCheck check) const
    {
        const auto &limits = loan.request.limits;
        const auto load = limits ? loan.pool->expected(loan.request.work, requirement(loan.request))
                                 : std::nullopt;
        const Duration waited = m_server.timers.now() - loan.arrivedAt;
        return load && isExpectedLate(*load, limits->useful - waited, check);
    }

    // Ends the wait at the timeout, or from the end of the hold time on if the figures show that
    // the statement cannot start in time.
    void scheduleTimeout(const std::shared_ptr<Loan> &loan)
    {
        const Duration waited = m_server.timers.now() - loan->arrivedAt;
        Duration delay = loan->request.timeout - waited;
        StartCheck check = StartCheck::Later;
        if (const auto &limits = loan->request.limits) {
            if (waited < limits->hold)
                check = StartCheck::HoldEnd;
            delay = std::min(delay, waited < limits->hold ? limits->hold - waited : holdRecheck);
        }
        delay = std::max(delay, Duration(0));
        loan->timeoutTimer =
                m_server.timers.after(delay, [this, weak = std::weak_ptr(loan), check] {
                    if (const auto waiting = weak.lock())
                        checkWait(waiting, check);
                });
    }

    void checkWait(const std::shared_ptr<Loan> &loan, StartCheck check)
    {
        loan->timeoutTimer = 0;
        const bool hasTimedOut = m_server.timers.now() - loan->arrivedAt >= loan->request.timeout;
        if (!hasTimedOut && !cannotStart(*loan, check)) {
            scheduleTimeout(loan);
            return;
        }
        loan->pool->cancel(std::exchange(loan->ticket, 0));
        if (!hasTimedOut)
            m_server.expectedLate.add();
        refuse(loan, hasTimedOut ? "no connection became free in time" : cannotStartReason);
    }

    void start(const std::shared_ptr<Loan> &loan)
    {
        m_server.timers.cancel(std::exchange(loan->timeoutTimer, 0));
        if (loan->lease->isBroken()) {
            refuse(loan, "the connection was lost");
            return;
        }
        const RelayMessage &request = loan->request;
        if (refuseKey(request))
            return;
        loan->lease->run({.command = request.command,
                          .context = request.hasValues ? &loan->context : nullptr,
                          .prepared = request.prepared ? &*request.prepared : nullptr,
                          .begin = request.begin,
                          .beginAfter = request.beginAfter,
                          .customer = request.customer,
                          .priority = request.priority,
                          .key = request.key,
                          .work = request.work},
                         [this, weak = std::weak_ptr(loan)](const LinkOutcome &outcome) {
                             if (const auto ran = weak.lock())
                                 answer(ran->request, outcome);
                         });
    }

    void refuse(const std::shared_ptr<Loan> &loan, const std::string &reason)
    {
        m_server.refusals.add();
        answer(loan->request, {.end = LinkEnd::NotSent, .reply = {.message = reason}});
    }

    // The message may have waited in a socket or for a connection since the borrower has checked
    // the key.
    bool refuseKey(const RelayMessage &request)
    {
        const auto &refusalOf = m_server.hooks.refusalOf;
        const StatementFailure failure =
                refusalOf ? refusalOf(request.key, request.customer) : StatementFailure::None;
        if (failure == StatementFailure::None)
            return false;
        m_server.keyRefusals.add();
        answer(request, {.end = LinkEnd::Refused,
                         .reply = {.failure = failure,
                                   .message = "the relaying VM could not confirm the key"}});
        return true;
    }

    void answer(const RelayMessage &request, const LinkOutcome &outcome)
    {
        RelayMessage message{
                .kind = RelayMessage::Kind::Outcome, .lease = request.lease, .outcome = outcome};
        if (const auto found = m_loans.find(request.lease);
            found != m_loans.end() && found->second->pool)
            message.outcome.load =
                    found->second->pool->expected(request.work, requirement(request));
        const auto &status = outcome.reply.status;
        if (status && status->runningSince) {
            message.runTime = std::max(m_server.timers.now() - *status->runningSince, Duration(0));
        }
        const auto floor =
                m_server.hooks.floorOf ? m_server.hooks.floorOf(request.database) : std::nullopt;
        if (floor) {
            message.floor = floor->point;
            message.floorAge = std::max(m_server.timers.now() - floor->requestedAt, Duration(0));
        }
        m_stream->send(encodeRelayMessage(message));
    }

    void release(std::uint64_t lease)
    {
        const auto found = m_loans.find(lease);
        if (found == m_loans.end())
            return;
        const std::shared_ptr<Loan> loan = std::move(found->second);
        m_loans.erase(found);
        endLoan(*loan);
    }

    void endLoan(Loan &loan)
    {
        m_server.timers.cancel(std::exchange(loan.timeoutTimer, 0));
        if (loan.ticket != 0)
            loan.pool->cancel(std::exchange(loan.ticket, 0));
        loan.lease.release();
    }

    Data &m_server;
    std::uint64_t m_number;
    std::unique_ptr<TcpStream> m_stream;
    LineCutter m_lines;
    std::map<std::uint64_t, std::shared_ptr<Loan>> m_loans;
};

void RelayServer::Data::accepted(std::unique_ptr<TcpStream> stream)
{
    const std::uint64_t number = ++lastNumber;
    peers.emplace(number, std::make_shared<Peer>(*this, number, std::move(stream)));
}

void RelayServer::Data::drop(std::uint64_t number)
{
    const auto found = peers.find(number);
    if (found == peers.end())
        return;
    // The peer may be the caller, so it is destroyed later.
    const std::shared_ptr<Peer> dropped = std::move(found->second);
    peers.erase(found);
    timers.after(Duration(0), [dropped, self = shared_from_this()] {});
}

RelayServer::RelayServer(std::shared_ptr<Data> data)
    : m_data(std::move(data))
{}

RelayServer::~RelayServer()
{
    m_data->listener.reset();
    m_data->peers.clear();
}

Result<std::unique_ptr<RelayServer>> RelayServer::listen(EventLoop &loop, const Endpoint &endpoint,
                                                         Timers &timers, Counters &counters,
                                                         Hooks hooks)
{
    auto data = std::make_shared<Data>(timers, counters, std::move(hooks));
    Result<std::unique_ptr<TcpListener>> listener =
            TcpListener::listen(loop, endpoint, unacknowledgedTimeout,
                                [weak = std::weak_ptr(data)](std::unique_ptr<TcpStream> stream) {
                                    if (const auto server = weak.lock())
                                        server->accepted(std::move(stream));
                                });
    if (!listener)
        return listener.error();
    data->listener = std::move(listener.value());
    return std::unique_ptr<RelayServer>(new RelayServer(std::move(data)));
}

std::size_t RelayServer::loanCount() const
{
    std::size_t count = 0;
    for (const auto &[number, peer] : m_data->peers)
        count += peer->loanCount();
    return count;
}

Endpoint RelayServer::endpoint() const
{
    return m_data->listener->endpoint();
}

} // namespace fescuespring
