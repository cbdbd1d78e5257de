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
        }
    }

    // The lender computed the age of the floor when it replied. Subtracting it from the earlier
    // time of sending can only overstate the age.
    void finish(const RelayMessage &message)
    {
        auto node = calls.extract(message.lease);
        if (node.empty())
            return;
        LinkOutcome outcome = message.outcome;
        outcome.sentAt = node.mapped().sentAt;
        if (message.floor)
            outcome.floor = PrimaryFloor{*message.floor, outcome.sentAt - message.floorAge};
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
        // The stream may be the caller, so it is destroyed later; until then it calls this object.
        const auto closing = std::make_shared<std::unique_ptr<TcpStream>>(std::move(stream));
        timers.after(Duration(0), [closing, self = shared_from_this()] { closing->reset(); });
    }

    Timers &timers;
    Options options;
    std::unique_ptr<TcpStream> stream;
    LineCutter lines;
    std::map<std::uint64_t, Call> calls;
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

bool RelayPeer::isLost() const
{
    return m_data->isLost;
}

bool RelayPeer::isConnected() const
{
    return m_data->isConnected && !m_data->isLost;
}

} // namespace fescuespring
