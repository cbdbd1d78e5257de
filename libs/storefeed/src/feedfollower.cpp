#include "storefeed/feedfollower.h"

#include "net/linecutter.h"
#include "valuepatch/valuepatch.h"

#include <set>
#include <utility>

namespace fescuespring {

namespace {

constexpr std::chrono::milliseconds connectTimeout{400};
constexpr std::chrono::milliseconds unacknowledgedTimeout{1500};

// Larger than any object of the store.
constexpr std::size_t maximumPatchedBytes = std::size_t{4} * 1024 * 1024;

} // namespace

struct FeedFollower::Data : std::enable_shared_from_this<FeedFollower::Data>
{
    struct Question
    {
        Instant askedAt;
        Timers::Id timer = 0;
        Answered answered;
    };

    Data(Timers &vmTimers, Options followerOptions)
        : timers(vmTimers)
        , options(std::move(followerOptions))
    {}

    void connect(EventLoop &loop)
    {
        stream = TcpStream::connect(loop,
                                    {.endpoint = options.reader,
                                     .localIp = options.localIp,
                                     .connectTimeout = connectTimeout,
                                     .unacknowledgedTimeout = unacknowledgedTimeout},
                                    {.onBytes = [this](std::string_view bytes) { received(bytes); },
                                     .onClosed =
                                             [this](const Error &error) {
                                                 lost(error);
                                             }});
        sendKnownParts();
    }

    // Sends digests of the held objects, so that the reader sends only what is missing.
    void sendKnownParts()
    {
        std::string text;
        for (const std::string &kind : options.mirror.kinds()) {
            const std::vector<StoredObject> objects = options.mirror.objects(kind);
            text += encodeFeedMessage({.kind = FeedMessage::Kind::Known,
                                       .parts = partDigests(objects, partCountFor(objects.size())),
                                       .objectKind = kind});
        }
        stream->send(text + encodeFeedMessage({.kind = FeedMessage::Kind::Begin}));
    }

    void received(std::string_view bytes)
    {
        const auto self = shared_from_this();
        lastReceived = timers.now();
        if (!lines.append(bytes)) {
            lost({.code = ErrorCode::TooLarge, .message = "feed message is too long"});
            return;
        }
        while (const auto line = isEnded ? std::nullopt : lines.next()) {
            const Result<FeedMessage> message = decodeFeedMessage(*line);
            if (!message) {
                lost(message.error());
                return;
            }
            handle(message.value());
        }
    }

    void handle(const FeedMessage &message)
    {
        switch (message.kind) {
        case FeedMessage::Kind::All:
            handleAll(message);
            break;
        case FeedMessage::Kind::Change:
            for (const StoredObject &object : message.objects)
                options.mirror.apply(message.objectKind, {object, message.isRemoved});
            options.mirror.advanceVersion(message.objectKind, message.storeVersion);
            break;
        case FeedMessage::Kind::Patch:
            handlePatch(message);
            break;
        case FeedMessage::Kind::WakeUp:
            options.onWakeUp();
            break;
        case FeedMessage::Kind::Answer:
            // An answer to an earlier question than the last applied one has older records.
            if (message.age >= Duration(0) && message.number > recordsNumber) {
                records = message.objects;
                digest = digestOf(records);
                recordsNumber = message.number;
            }
            answer(message, message.objects);
            break;
        case FeedMessage::Kind::Unchanged:
            answer(message, records);
            break;
        case FeedMessage::Kind::Packed:
        case FeedMessage::Kind::Question:
        case FeedMessage::Kind::Known:
        case FeedMessage::Kind::Begin:
            lost({.code = ErrorCode::Malformed,
                  .message = "reader sent a message kind that only followers send"});
            break;
        }
    }

    void handleAll(const FeedMessage &message)
    {
        const std::set<std::size_t> numbers(message.partNumbers.begin(), message.partNumbers.end());
        StoreMirror::Scope scope;
        if (message.partCount != 0) {
            scope = [&numbers, count = message.partCount](const StoredObject &object) {
                return numbers.contains(partOf(object, count));
            };
        }
        options.mirror.replaceAll(message.objectKind, message.objects, message.storeVersion, scope);
    }

    void handlePatch(const FeedMessage &message)
    {
        if (message.objects.size() != 1) {
            lost({.code = ErrorCode::Malformed,
                  .message = "patch message must have exactly one object"});
            return;
        }
        StoredObject object = message.objects.front();
        const StoredObject *held = options.mirror.find(message.objectKind, object.key);
        if (held && held->version >= object.version)
            return;
        const bool isForHeld = held && held->version == message.patchedVersion;
        const Result<std::string> value =
                isForHeld ? applyPatch(held->value, object.value, maximumPatchedBytes)
                          : Error{.code = ErrorCode::Conflict};
        if (!value) {
            sendKnownParts();
            return;
        }
        object.value = value.value();
        options.mirror.apply(message.objectKind, {std::move(object), false});
        options.mirror.advanceVersion(message.objectKind, message.storeVersion);
    }

    void requestRecords(Duration timeout, Answered answered)
    {
        const std::uint64_t number = ++lastNumber;
        const Timers::Id timer = timers.after(timeout, [weak = weak_from_this(), number] {
            if (const auto self = weak.lock())
                self->finish(number, Error{ErrorCode::Timeout, "reader did not answer in time"});
        });
        questions[number] = {timers.now(), timer, std::move(answered)};
        stream->send(encodeFeedMessage(
                {.kind = FeedMessage::Kind::Question, .number = number, .digest = digest}));
    }

    void answer(const FeedMessage &message, const std::vector<StoredObject> &objects)
    {
        const auto question = questions.find(message.number);
        if (question == questions.end())
            return;
        if (message.age < Duration(0)) {
            finish(message.number, Error{ErrorCode::Unavailable, "reader has no records"});
            return;
        }
        const Instant askedAt = question->second.askedAt;
        DatedRecords read{objects, askedAt - message.age, message.epoch};
        if (message.configuration)
            read.configuration = {message.configuration->version,
                                  askedAt - message.configuration->age};
        finish(message.number, read);
    }

    void finish(std::uint64_t number, const Result<DatedRecords> &end)
    {
        auto node = questions.extract(number);
        if (node.empty())
            return;
        timers.cancel(node.mapped().timer);
        node.mapped().answered(end);
    }

    void lost(const Error &error)
    {
        if (std::exchange(isEnded, true))
            return;
        while (!questions.empty())
            finish(questions.begin()->first, Error{ErrorCode::ConnectionLost, error.message});
        options.onLost(error);
    }

    void end()
    {
        isEnded = true;
        for (const auto &[number, question] : questions)
            timers.cancel(question.timer);
        questions.clear();
        // The stream may be the caller and refers to this object, so both are released later.
        const auto kept = std::make_shared<std::unique_ptr<TcpStream>>(std::move(stream));
        timers.after(Duration(0), [kept, self = shared_from_this()] { kept->reset(); });
    }

    Timers &timers;
    Options options;
    std::unique_ptr<TcpStream> stream;
    LineCutter lines;
    std::map<std::uint64_t, Question> questions;
    std::uint64_t lastNumber = 0;
    Instant lastReceived;

    // Records of the last full answer, their digest, and the number of its question; 0 before the
    // first one.
    std::vector<StoredObject> records;
    std::uint64_t digest = 0;
    std::uint64_t recordsNumber = 0;
    bool isEnded = false;
};

FeedFollower::FeedFollower(EventLoop &loop, Timers &timers, Options options)
    : m_data(std::make_shared<Data>(timers, std::move(options)))
{
    m_data->connect(loop);
}

FeedFollower::~FeedFollower()
{
    m_data->end();
}

Instant FeedFollower::lastReceived() const
{
    return m_data->lastReceived;
}

void FeedFollower::requestRecords(Duration timeout, Answered answered)
{
    m_data->requestRecords(timeout, std::move(answered));
}

} // namespace fescuespring
