#include "relay/relaypeer.h"

#include "net/linecutter.h"

#include <map>
#include <utility>

namespace fescuespring {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds connectTimeout{350};
constexpr milliseconds unacknowledgedTimeout{1500};

// While statements await their outcome, the peer is pinged at this interval. It counts as lost if
// it sends nothing for responseTimeout.
constexpr Duration pingInterval = milliseconds(200);
constexpr Duration responseTimeout = milliseconds(600);

} // namespace

struct RelayPeer::Data : std::enable_shared_from_this<RelayPeer::Data>
{
    struct Call
    {
        Done done;
        Instant sentAt;
    };

    struct Ask
    {
        Answered answered;
        Timers::Id timer = 0;
    };

    Data(Timers &vmTimers, Options peerOptions)
        : timers(vmTimers)
        , options(std::move(peerOptions))
        , lastReplyAt(timers.now())
    {}

    void connect(EventLoop &loop)
    {
        stream = TcpStream::connect(loop,
                                    {.endpoint = options.endpoint,
                                     .localIp = options.localIp,
                                     .connectTimeout = connectTimeout,
                                     .unacknowledgedTimeout = unacknowledgedTimeout},
                                    {.onBytes = [this](std::string_view bytes) { received(bytes); },
                                     .onClosed = [this](const Error &error) { lost(error); },
                                     .onConnected =
                                             [this] {
                                                 isConnected = true;
                                             }});
    }

    void run(const RelayMessage &request, Done done)
    {
        if (calls.empty())
            lastReplyAt = timers.now();
        calls[request.lease] = {std::move(done), timers.now()};
        stream->send(encodeRelayMessage(request));
        schedulePing();
    }

    void ask(const AllowanceRequest &request, Duration timeout, Answered answered)
    {
        const std::uint64_t number = ++lastLease;
        const Timers::Id timer =
                timers.after(isLost ? Duration(0) : timeout, [weak = weak_from_this(), number] {
                    if (const auto self = weak.lock())
                        self->finishAsk(number, std::nullopt);
                });
        asks[number] = {std::move(answered), timer};
        if (!isLost) {
            stream->send(encodeRelayMessage({.kind = RelayMessage::Kind::AllowanceRequest,
                                             .lease = number,
                                             .allowanceRequest = request}));
        }
    }

    void finishAsk(std::uint64_t number, const std::optional<AllowanceAnswer> &answer)
    {
        const auto node = asks.extract(number);
        if (node.empty())
            return;
        timers.cancel(node.mapped().timer);
        node.mapped().answered(answer);
    }

    void schedulePing()
    {
        if (pingTimer != 0 || calls.empty())
            return;
        pingTimer = timers.after(pingInterval, [weak = weak_from_this()] {
            const auto self = weak.lock();
            if (!self || self->isLost)
                return;
            self->pingTimer = 0;
            self->checkResponsiveness();
        });
    }

    void checkResponsiveness()
    {
        if (calls.empty())
            return;
        const Duration sinceLastReply = timers.now() - lastReplyAt;
        if (sinceLastReply > responseTimeout) {
            lost({.code = ErrorCode::Timeout, .message = "the VM does not respond"});
            return;
        }
        if (sinceLastReply >= pingInterval && isConnected)
            stream->send(encodeRelayMessage({.kind = RelayMessage::Kind::Ping}));
        schedulePing();
    }

    void received(std::string_view bytes)
    {
        const auto self = shared_from_this();
        lastReplyAt = timers.now();
        if (!lines.append(bytes)) {
            lost({.code = ErrorCode::TooLarge, .message = "relay message is too long"});
            return;
        }
        while (const auto line = isLost ? std::nullopt : lines.next()) {
            const Result<RelayMessage> message = decodeRelayMessage(*line);
            if (!message) {
                lost(message.error());
                return;
            }
            if (message.value().kind == RelayMessage::Kind::Outcome)
                finish(message.value());
            if (message.value().kind == RelayMessage::Kind::AllowanceAnswer)
                finishAsk(message.value().lease, message.value().allowanceAnswer);
        }
    }

    // The lender computed the age of the floor when it replied. Subtracting it from the earlier
    // time of sending can only overstate the age. Likewise, subtracting the run time of the
    // database from the later time of receiving can only understate that.
    void finish(const RelayMessage &message)
    {
        auto node = calls.extract(message.lease);
        if (node.empty())
            return;
        LinkOutcome outcome = message.outcome;
        outcome.sentAt = node.mapped().sentAt;
        if (message.floor)
            outcome.floor = PrimaryFloor{*message.floor, outcome.sentAt - message.floorAge};
        if (outcome.reply.status && message.runTime)
            outcome.reply.status->runningSince = timers.now() - *message.runTime;
        node.mapped().done(outcome);
    }

    void lost(const Error &error)
    {
        if (std::exchange(isLost, true))
            return;
        const auto self = shared_from_this();
        timers.cancel(pingTimer);
        // Nothing was sent on a connection that never opened.
        const LinkEnd end = isConnected ? LinkEnd::Lost : LinkEnd::NotSent;
        options.onLost(error);
        for (const auto &[number, ask] : std::exchange(asks, {})) {
            timers.cancel(ask.timer);
            ask.answered(std::nullopt);
        }
        while (!calls.empty()) {
            finish({.lease = calls.begin()->first,
                    .outcome = {
                            .end = end,
                            .reply = {.message = "relayed through another VM: " + error.message}}});
        }
    }

    void end()
    {
        isLost = true;
        timers.cancel(pingTimer);
        calls.clear();
        for (const auto &[number, ask] : std::exchange(asks, {}))
            timers.cancel(ask.timer);
        // The stream may be the caller, so it is destroyed later; until then it calls this object.
        const auto closing = std::make_shared<std::unique_ptr<TcpStream>>(std::move(stream));
        timers.after(Duration(0), [closing, self = shared_from_this()] { closing->reset(); });
    }

    Timers &timers;
    Options options;
    std::unique_ptr<TcpStream> stream;
    LineCutter lines;
    std::map<std::uint64_t, Call> calls;
    std::map<std::uint64_t, Ask> asks;
    std::uint64_t lastLease = 0;
    Instant lastReplyAt;
    Timers::Id pingTimer = 0;
    bool isConnected = false;
    bool isLost = false;
};

RelayPeer::RelayPeer(EventLoop &loop, Timers &timers, Options options)
    : m_data(std::make_shared<Data>(timers, std::move(options)))
{
    m_data->connect(loop);
}

RelayPeer::~RelayPeer()
{
    m_data->end();
}

std::uint64_t RelayPeer::newLease()
{
    return ++m_data->lastLease;
}

void RelayPeer::run(const RelayMessage &request, Done done)
{
    m_data->run(request, std::move(done));
}

void RelayPeer::release(std::uint64_t lease)
{
    m_data->calls.erase(lease);
    if (!m_data->isLost) {
        m_data->stream->send(
                encodeRelayMessage({.kind = RelayMessage::Kind::Release, .lease = lease}));
    }
}

void RelayPeer::ask(const AllowanceRequest &request, Duration timeout, Answered answered)
{
    m_data->ask(request, timeout, std::move(answered));
}

bool RelayPeer::isLost() const
{
    return m_data->isLost;
}

bool RelayPeer::isConnected() const
{
    return m_data->isConnected && !m_data->isLost;
}

} // namespace fescuespring
