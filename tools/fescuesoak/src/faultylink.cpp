#include "fescuesoak/faultylink.h"

#include "net/tcpstream.h"

#include <deque>
#include <map>
#include <utility>

namespace fescuespring {

namespace {

constexpr std::chrono::milliseconds unacknowledgedTimeout{10'000};

// One direction of a connection: what waits to be passed on.
class Direction
{
public:
    Direction(EventLoop &loop, std::function<void(std::string_view)> passOn)
        : m_loop(loop)
        , m_passOn(std::move(passOn))
    {}

    ~Direction()
    {
        m_loop.cancel(m_timer);
    }

    Direction(const Direction &) = delete;
    Direction &operator=(const Direction &) = delete;

    void take(std::string_view bytes, Duration delay)
    {
        m_waiting.push_back({std::string(bytes), EventLoop::now() + delay});
        run();
    }

    void hold(bool isHeld)
    {
        m_isHeld = isHeld;
        run();
    }

private:
    struct Piece
    {
        std::string bytes;
        Instant due;
    };

    void run()
    {
        m_loop.cancel(std::exchange(m_timer, 0));
        while (!m_isHeld && !m_waiting.empty()) {
            const Duration left = m_waiting.front().due - EventLoop::now();
            if (left > Duration(0)) {
                m_timer = m_loop.after(left, [this] {
                    m_timer = 0;
                    run();
                });
                return;
            }
            m_passOn(m_waiting.front().bytes);
            m_waiting.pop_front();
        }
    }

    EventLoop &m_loop;
    std::function<void(std::string_view)> m_passOn;
    std::deque<Piece> m_waiting;
    bool m_isHeld = false;
    EventLoop::TimerId m_timer = 0;
};

// One caller's connection and the one to the target that belongs to it.
struct Pair
{
    Pair(EventLoop &loop, std::unique_ptr<TcpStream> callerStream)
        : callerIp(callerStream->peer().ip)
        , caller(std::move(callerStream))
        , toTarget(loop, [this](std::string_view bytes) { target->send(bytes); })
        , toCaller(loop, [this](std::string_view bytes) { caller->send(bytes); })
    {}

    std::string callerIp;
    std::unique_ptr<TcpStream> caller;
    std::unique_ptr<TcpStream> target;
    Direction toTarget;
    Direction toCaller;
    bool isSilent = false;

    // One end is gone, which the other learns of when nothing is held any more.
    bool isHalfGone = false;
};

} // namespace

struct FaultyLink::Data
{
    Data(EventLoop &eventLoop, Endpoint targetEndpoint)
        : loop(eventLoop)
        , target(std::move(targetEndpoint))
    {}

    void accepted(std::unique_ptr<TcpStream> stream);
    void closed(std::uint64_t number);
    void apply(Pair &pair);

    EventLoop &loop;
    Endpoint target;
    std::unique_ptr<TcpListener> listener;
    std::map<std::string, LinkFault> faults;
    std::map<std::uint64_t, std::shared_ptr<Pair>> pairs;
    std::uint64_t lastNumber = 0;
};

void FaultyLink::Data::accepted(std::unique_ptr<TcpStream> stream)
{
    const std::uint64_t number = ++lastNumber;
    const auto pair = std::make_shared<Pair>(loop, std::move(stream));
    pairs.emplace(number, pair);
    Pair *raw = pair.get();
    raw->target = TcpStream::connect(loop, {.endpoint = target, .localIp = raw->callerIp},
                                     {.onBytes =
                                              [this, raw](std::string_view bytes) {
                                                  if (!raw->isSilent)
                                                      raw->toCaller.take(
                                                              bytes, faults[raw->callerIp].delay);
                                              },
                                      .onClosed =
                                              [this, number](const Error &) {
                                                  closed(number);
                                              }});
    raw->caller->setHandlers({.onBytes =
                                      [this, raw](std::string_view bytes) {
                                          if (!raw->isSilent)
                                              raw->toTarget.take(bytes,
                                                                 faults[raw->callerIp].delay);
                                      },
                              .onClosed =
                                      [this, number](const Error &) {
                                          closed(number);
                                      }});
    apply(*raw);
}

// An end that is cut off or silent learns nothing of the other's close.
void FaultyLink::Data::closed(std::uint64_t number)
{
    const auto found = pairs.find(number);
    if (found == pairs.end())
        return;
    const std::shared_ptr<Pair> pair = found->second;
    const LinkFault &fault = faults[pair->callerIp];
    pair->isHalfGone = true;
    if (pair->isSilent || fault.holdsToTarget || fault.holdsToCaller)
        return;
    pairs.erase(found);
    // The caller of this function may be one of its streams.
    loop.post([pair] {
        pair->caller->reset();
        pair->target->reset();
    });
}

void FaultyLink::Data::apply(Pair &pair)
{
    const LinkFault &fault = faults[pair.callerIp];
    pair.toTarget.hold(fault.holdsToTarget);
    pair.toCaller.hold(fault.holdsToCaller);
}

FaultyLink::FaultyLink(std::shared_ptr<Data> data)
    : m_data(std::move(data))
{}

FaultyLink::~FaultyLink()
{
    m_data->listener.reset();
    m_data->pairs.clear();
}

Result<std::unique_ptr<FaultyLink>> FaultyLink::listen(EventLoop &loop, const Endpoint &endpoint,
                                                       const Endpoint &target)
{
    auto data = std::make_shared<Data>(loop, target);
    auto listener = TcpListener::listen(loop, endpoint, unacknowledgedTimeout,
                                        [raw = data.get()](std::unique_ptr<TcpStream> stream) {
                                            raw->accepted(std::move(stream));
                                        });
    if (!listener)
        return listener.error();
    data->listener = std::move(listener.value());
    return std::unique_ptr<FaultyLink>(new FaultyLink(std::move(data)));
}

Endpoint FaultyLink::endpoint() const
{
    return m_data->listener->endpoint();
}

void FaultyLink::setFault(const std::string &callerIp, const LinkFault &fault)
{
    m_data->faults[callerIp] = fault;
    const auto pairs = m_data->pairs;
    for (const auto &[number, pair] : pairs) {
        if (pair->callerIp != callerIp)
            continue;
        m_data->apply(*pair);
        if (pair->isHalfGone)
            m_data->closed(number);
    }
}

void FaultyLink::reset(const std::string &callerIp)
{
    std::erase_if(m_data->pairs, [&](const auto &entry) {
        const std::shared_ptr<Pair> pair = entry.second;
        if (pair->callerIp != callerIp)
            return false;
        m_data->loop.post([pair] {
            pair->caller->reset();
            pair->target->reset();
        });
        return true;
    });
}

void FaultyLink::silence(const std::string &callerIp)
{
    for (const auto &[number, pair] : m_data->pairs) {
        if (pair->callerIp == callerIp)
            pair->isSilent = true;
    }
}

} // namespace fescuespring
