#include "fescuesoak/soakcaller.h"

#include "adapter/wire.h"
#include "net/tcpstream.h"

#include <charconv>
#include <deque>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace fescuespring {

namespace {

using std::chrono::milliseconds;

// An answer that takes longer ends the session; the longest time limit of a route is 2 s.
constexpr milliseconds answerTimeout{8000};
constexpr milliseconds retryPause{100};
constexpr milliseconds shortestPause{5};
constexpr milliseconds longestPause{60};

// How a session goes on: chances in a hundred.
constexpr unsigned leaveChance = 4;
constexpr unsigned transactionChance = 35;
constexpr unsigned preparedChance = 50;
constexpr unsigned furtherValueChance = 50;

std::string quoted(const StatementReply &reply)
{
    return std::string(toString(reply.failure)) + ' ' + reply.message;
}

// Whether a failure promises that nothing of the attempt is kept.
bool isPromise(StatementFailure failure)
{
    const bool isOther = failure == StatementFailure::UnknownPrepared;
    return failure == StatementFailure::Aborted || (meansNotRun(failure) && !isOther);
}

std::uint64_t numberOf(const std::vector<std::string> &rows)
{
    std::uint64_t number = 0;
    if (!rows.empty())
        std::from_chars(rows.front().data(), rows.front().data() + rows.front().size(), number);
    return number;
}

} // namespace

struct SoakCaller::Data : std::enable_shared_from_this<SoakCaller::Data>
{
    enum class Action {
        SetUp,
        Begin,
        Read,
        Write,
        Commit,
        Rollback,
    };

    struct Step
    {
        Action action = Action::Read;
        std::string text;
        std::string item = {};
        std::uint64_t value = 0;

        // The shape that the signature must name; empty for a statement that is not prepared.
        std::string shape = {};
    };

    explicit Data(SoakCallerOptions callerOptions)
        : options(std::move(callerOptions))
        , random(options.seed)
    {
        renewItems();
    }

    void connect();
    void received(std::string_view bytes);
    void openAnswered(const std::string &line);
    void planSetUp();
    void planOperation();
    void planTransaction();
    Step readStep(const std::string &item);
    Step writeStep(const std::string &item);
    void sendNext();
    void answered(const StatementReply &reply);
    void succeeded(const Step &step, const StatementReply &reply);
    void failed(const Step &step, const StatementReply &reply);
    void checkSignature(const Step &step, const StatementReply &reply);
    void readSeen(const Step &step, const StatementReply &reply);
    void closed();
    void endWrites(WriteFate fate);
    void endSession(milliseconds pause);
    void pauseThen(const std::function<void()> &next, milliseconds pause);
    void renewItems();
    bool chance(unsigned inHundred);

    SoakCallerOptions options;
    std::mt19937_64 random;
    std::unique_ptr<TcpStream> stream;
    LineBuffer lines;
    ReplyDecoder decoder;
    std::deque<Step> steps;
    std::optional<Step> asked;
    std::vector<RequestId> openWrites;
    std::vector<std::string> openItems;

    // Items that the present session has written; a later session need not see them at once.
    std::set<std::string> writtenItems;
    std::string item;
    std::string pairOne;
    std::string pairTwo;
    std::string sessionValue;

    // All values that the session has set, as a signature tells them.
    std::string sessionValues;
    std::string shape;
    std::uint64_t generation = 0;
    std::uint64_t sessionNumber = 0;
    std::uint64_t requestNumber = 0;
    std::uint64_t lastValue = 0;
    std::uint64_t served = 0;
    Instant transactionBegan;
    Instant askedAt;
    EventLoop::TimerId timer = 0;
    bool isOpen = false;
    bool isInTransaction = false;
    bool isStopping = false;
};

bool SoakCaller::Data::chance(unsigned inHundred)
{
    return random() % 100 < inHundred;
}

// A write of unknown fate may take effect late, so its items are not written again.
void SoakCaller::Data::renewItems()
{
    const std::string suffix = options.name + 'g' + std::to_string(++generation);
    item = "a" + suffix;
    pairOne = "p" + suffix;
    pairTwo = "q" + suffix;
}

void SoakCaller::Data::pauseThen(const std::function<void()> &next, milliseconds pause)
{
    options.loop.cancel(timer);
    timer = options.loop.after(pause, [this, next] {
        timer = 0;
        next();
    });
}

void SoakCaller::Data::connect()
{
    if (isStopping)
        return;
    const auto vm = options.chooseVm();
    if (!vm) {
        pauseThen([this] { connect(); }, retryPause);
        return;
    }
    lines = {};
    decoder = {};
    isOpen = false;
    ++sessionNumber;
    writtenItems.clear();
    sessionValue = options.name + 's' + std::to_string(sessionNumber);
    shape = "shape" + sessionValue;
    stream = TcpStream::connect(options.loop, {.endpoint = *vm},
                                {.onBytes = [this](std::string_view bytes) { received(bytes); },
                                 .onClosed =
                                         [this](const Error &) {
                                             closed();
                                         }});
    const char *suffix = options.route == SoakRoute::Primary ? "-primary"
                         : options.route == SoakRoute::Own   ? "-own"
                                                             : "-bounded";
    stream->send("CONNECT " + options.group + suffix + " soak\r\n");
    pauseThen([this] { closed(); }, answerTimeout);
}

void SoakCaller::Data::received(std::string_view bytes)
{
    const auto self = shared_from_this();
    if (!lines.append(bytes))
        options.ledger.violated("wire", "an answer over the longest message");
    while (stream) {
        const auto line = lines.next();
        if (!line)
            return;
        if (!isOpen) {
            openAnswered(std::string(*line));
            continue;
        }
        Result<std::optional<StatementReply>> reply = decoder.decodeLine(*line);
        if (!reply) {
            options.ledger.violated("wire", "unreadable answer: " + std::string(*line));
            closed();
        } else if (reply.value()) {
            answered(*reply.value());
        }
    }
}

void SoakCaller::Data::openAnswered(const std::string &line)
{
    if (!line.starts_with("READY")) {
        closed();
        return;
    }
    isOpen = true;
    planSetUp();
    sendNext();
}

void SoakCaller::Data::planSetUp()
{
    steps.push_back({.action = Action::SetUp, .text = "SET tenant " + sessionValue});
    sessionValues = "tenant=" + sessionValue + ';';
    // A value that other sessions do not set must not be left to them.
    if (chance(furtherValueChance)) {
        steps.push_back({.action = Action::SetUp, .text = "SET extra " + sessionValue});
        sessionValues = "extra=" + sessionValue + ';' + sessionValues;
    }
    steps.push_back({.action = Action::SetUp, .text = "PREPARE r READ " + shape + "r"});
    steps.push_back({.action = Action::SetUp, .text = "PREPARE w WRITE " + shape + "w"});
}

SoakCaller::Data::Step SoakCaller::Data::readStep(const std::string &name)
{
    if (chance(preparedChance))
        return {.action = Action::Read,
                .text = "EXECUTE r " + name,
                .item = name,
                .shape = shape + "r"};
    return {.action = Action::Read, .text = "READ " + name, .item = name};
}

SoakCaller::Data::Step SoakCaller::Data::writeStep(const std::string &name)
{
    Step step{.action = Action::Write, .item = name, .value = lastValue};
    const std::string argument = name + ' ' + std::to_string(lastValue);
    const bool isPrepared = chance(preparedChance);
    step.text = (isPrepared ? "EXECUTE w " : "WRITE ") + argument;
    if (isPrepared)
        step.shape = shape + "w";
    return step;
}

void SoakCaller::Data::planOperation()
{
    const std::vector<std::string> others = options.ledger.items(options.group);
    const bool readsOther =
            !others.empty() && chance(options.route == SoakRoute::Bounded ? 100 : 30);
    if (readsOther) {
        steps.push_back(readStep(others[random() % others.size()]));
        return;
    }
    if (options.route == SoakRoute::Bounded)
        return;
    if (chance(transactionChance)) {
        planTransaction();
        return;
    }
    ++lastValue;
    steps.push_back(writeStep(item));
    steps.push_back(readStep(item));
}

// Both items of the pair always get the same value.
void SoakCaller::Data::planTransaction()
{
    ++lastValue;
    steps.push_back({.action = Action::Begin, .text = "BEGIN"});
    steps.push_back(readStep(pairOne));
    steps.push_back(writeStep(pairOne));
    steps.push_back(writeStep(pairTwo));
    steps.push_back(readStep(pairTwo));
    if (chance(10))
        steps.push_back({.action = Action::Rollback, .text = "ROLLBACK"});
    else
        steps.push_back({.action = Action::Commit, .text = "COMMIT"});
}

void SoakCaller::Data::sendNext()
{
    if (!stream)
        return;
    if (steps.empty()) {
        ++served;
        if (isStopping || chance(leaveChance)) {
            stream->send("RELEASE\r\n");
            endSession(retryPause);
            return;
        }
        const auto spread = static_cast<std::uint64_t>((longestPause - shortestPause).count());
        pauseThen(
                [this] {
                    planOperation();
                    sendNext();
                },
                shortestPause + milliseconds(random() % spread));
        return;
    }
    // Some callers leave in the middle of a transaction.
    if (isInTransaction && chance(leaveChance)) {
        endWrites(WriteFate::Unknown);
        endSession(retryPause);
        return;
    }
    asked = steps.front();
    steps.pop_front();
    askedAt = EventLoop::now();
    const RequestId id(options.name + '-' + std::to_string(++requestNumber));
    if (asked->action == Action::Begin)
        transactionBegan = askedAt;
    if (asked->action == Action::Write) {
        options.ledger.sent({.id = id,
                             .group = options.group,
                             .item = asked->item,
                             .value = asked->value,
                             .sentAt = askedAt});
        openWrites.push_back(id);
        openItems.push_back(asked->item);
    }
    stream->send("QUERY " + id.value() + ' ' + asked->text + "\r\n");
    pauseThen([this] { closed(); }, answerTimeout);
}

void SoakCaller::Data::answered(const StatementReply &reply)
{
    if (!asked) {
        options.ledger.violated("wire", "an answer to nothing");
        closed();
        return;
    }
    options.loop.cancel(std::exchange(timer, 0));
    const Step step = *std::exchange(asked, std::nullopt);
    if (reply.isSuccess())
        succeeded(step, reply);
    else
        failed(step, reply);
}

void SoakCaller::Data::succeeded(const Step &step, const StatementReply &reply)
{
    switch (step.action) {
    case Action::SetUp:
        break;
    case Action::Begin:
        isInTransaction = true;
        break;
    case Action::Read:
        checkSignature(step, reply);
        readSeen(step, reply);
        break;
    case Action::Write:
        checkSignature(step, reply);
        if (!isInTransaction)
            endWrites(WriteFate::Acknowledged);
        break;
    case Action::Commit:
        checkSignature(step, reply);
        endWrites(WriteFate::Acknowledged);
        isInTransaction = false;
        break;
    case Action::Rollback:
        endWrites(WriteFate::NotRun);
        isInTransaction = false;
        break;
    }
    sendNext();
}

// The signature tells the values and the shape that the database ran the statement with.
void SoakCaller::Data::checkSignature(const Step &step, const StatementReply &reply)
{
    const std::string wanted = '/' + step.shape + '/' + sessionValues;
    const bool isCommit = step.action == Action::Commit;
    const bool holds = isCommit ? reply.signature.starts_with(options.group)
                                : reply.signature.ends_with(wanted)
                                          && reply.signature.starts_with(options.group);
    if (!holds)
        options.ledger.violated("session",
                                step.text + " wanted " + wanted + " saw " + reply.signature);
    if (step.action == Action::Read && reply.rows.size() != 1)
        options.ledger.violated("mixed",
                                step.text + " got " + std::to_string(reply.rows.size()) + " rows");
}

void SoakCaller::Data::readSeen(const Step &step, const StatementReply &reply)
{
    const bool isOwn = step.item == item || step.item == pairOne || step.item == pairTwo;
    // A transaction that has written an item sees what it wrote; nobody else does yet.
    if (isInTransaction && isOwn && !openWrites.empty()) {
        if (step.item == pairTwo && numberOf(reply.rows) != lastValue)
            options.ledger.violated("mixed", "a transaction does not see its own write");
        return;
    }
    const Instant began = isInTransaction ? transactionBegan : askedAt;
    const bool coversAll = options.route == SoakRoute::Primary
                           || (options.route == SoakRoute::Own && writtenItems.contains(step.item));
    options.ledger.read(
            {.group = options.group,
             .item = step.item,
             .value = numberOf(reply.rows),
             .coversUpTo = coversAll ? began : began - Duration(options.maximumStaleness),
             .sentAt = askedAt,
             .signature = reply.signature});
}

void SoakCaller::Data::failed(const Step &step, const StatementReply &reply)
{
    if (step.action == Action::SetUp)
        options.ledger.violated("session", step.text + " failed: " + quoted(reply));
    // Before its end was asked for, a transaction's writes are dropped with the session.
    const bool isNotRun = isPromise(reply.failure);
    endWrites(isNotRun ? WriteFate::NotRun : WriteFate::Unknown);
    if (isNotRun && reply.phase == SessionPhase::Idle) {
        isInTransaction = false;
        steps.clear();
        pauseThen([this] { sendNext(); }, retryPause);
        return;
    }
    endSession(retryPause);
}

void SoakCaller::Data::endWrites(WriteFate fate)
{
    const Instant now = EventLoop::now();
    for (const RequestId &id : openWrites)
        options.ledger.ended(id, fate, now);
    if (fate == WriteFate::Unknown && !openWrites.empty())
        renewItems();
    if (fate == WriteFate::Acknowledged)
        writtenItems.insert(openItems.begin(), openItems.end());
    openItems.clear();
    openWrites.clear();
}

void SoakCaller::Data::closed()
{
    endWrites(WriteFate::Unknown);
    endSession(retryPause);
}

void SoakCaller::Data::endSession(milliseconds pause)
{
    options.loop.cancel(std::exchange(timer, 0));
    asked.reset();
    steps.clear();
    isInTransaction = false;
    // The stream may be the caller.
    if (stream) {
        options.loop.post([gone = std::shared_ptr<TcpStream>(std::move(stream))] {});
        stream = nullptr;
    }
    pauseThen([this] { connect(); }, pause);
}

SoakCaller::SoakCaller(SoakCallerOptions options)
    : m_data(std::make_shared<Data>(std::move(options)))
{}

SoakCaller::~SoakCaller()
{
    m_data->options.loop.cancel(m_data->timer);
}

void SoakCaller::start()
{
    m_data->connect();
}

void SoakCaller::stop()
{
    m_data->isStopping = true;
}

std::uint64_t SoakCaller::takeServed()
{
    return std::exchange(m_data->served, 0);
}

} // namespace fescuespring
