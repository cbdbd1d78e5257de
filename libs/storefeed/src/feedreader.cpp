#include "storefeed/feedreader.h"

#include "net/linecutter.h"
#include "valuepatch/valuepatch.h"

#include <algorithm>
#include <set>
#include <utility>

namespace fescuespring {

namespace {

constexpr std::chrono::milliseconds unacknowledgedTimeout{3000};

// A follower that reads too slowly is disconnected, and follows another reader.
constexpr std::size_t maximumQueuedBytes = std::size_t{8} * 1024 * 1024;

// A change is sent at once; those that follow within this time are sent together. When hundreds of
// VMs and thousands of databases start, there is a change every few milliseconds.
constexpr Duration changeSpacing = std::chrono::milliseconds(50);

// Changes of objects of at least this size are sent as patches.
constexpr std::size_t largeObjectBytes = 4096;

} // namespace

struct FeedReader::Data : std::enable_shared_from_this<FeedReader::Data>
{
    struct Follower
    {
        std::unique_ptr<TcpStream> stream;
        LineCutter lines;

        // Known message of each kind that the follower holds, and whether Begin has arrived.
        std::map<std::string, FeedMessage> known;
        bool hasBegun = false;
    };

    Data(Timers &vmTimers, StoreMirror &vmMirror, Hooks vmHooks)
        : timers(vmTimers)
        , mirror(vmMirror)
        , hooks(std::move(vmHooks))
    {}

    void accepted(std::unique_ptr<TcpStream> stream)
    {
        const std::uint64_t number = ++lastNumber;
        stream->setHandlers(
                {.onBytes = [this, number](std::string_view bytes) { received(number, bytes); },
                 .onClosed =
                         [this, number](const Error &) {
                             drop(number);
                         }});
        followers[number].stream = std::move(stream);
    }

    void received(std::uint64_t number, std::string_view bytes)
    {
        // Data of a dropped follower may still arrive for a short time.
        const auto found = followers.find(number);
        if (found == followers.end())
            return;
        Follower &follower = found->second;
        if (!follower.lines.append(bytes)) {
            drop(number);
            return;
        }
        while (const auto line = follower.lines.next()) {
            const Result<FeedMessage> message = decodeFeedMessage(*line);
            if (!message || !handle(follower, message.value())) {
                drop(number);
                return;
            }
        }
    }

    // False for a message that followers must not send.
    bool handle(Follower &follower, const FeedMessage &message)
    {
        switch (message.kind) {
        case FeedMessage::Kind::Known:
            follower.known[message.objectKind] = message;
            return !message.parts.empty();
        case FeedMessage::Kind::Begin:
            follower.hasBegun = true;
            recordLargeObjects();
            for (const std::string &kind : mirror.kinds())
                sendMissing(follower, kind);
            follower.known.clear();
            return true;
        case FeedMessage::Kind::Question:
            follower.stream->send(packFeedMessage(answer(message)));
            return true;
        default:
            return false;
        }
    }

    // Records the versions of large objects that a follower receives now, as patches apply to them.
    void recordLargeObjects()
    {
        for (const std::string &kind : mirror.kinds()) {
            for (const StoredObject &object : mirror.objects(kind)) {
                if (object.value.size() >= largeObjectBytes)
                    largeObjects.try_emplace(object.key, object);
            }
        }
    }

    // Sends the parts of a kind that differ from what the follower holds, or the whole kind if it
    // holds none of it.
    void sendMissing(Follower &follower, const std::string &kind) const
    {
        FeedMessage message{.kind = FeedMessage::Kind::All,
                            .objectKind = kind,
                            .storeVersion = mirror.version(kind)};
        message.objects = mirror.objects(kind);
        const auto known = follower.known.find(kind);
        if (known != follower.known.end()) {
            const std::vector<std::uint64_t> &theirs = known->second.parts;
            message.partCount = theirs.size();
            message.partNumbers = differingParts(theirs, message.objects);
            if (message.partNumbers.empty())
                return;
            const std::set<std::size_t> differing(message.partNumbers.begin(),
                                                  message.partNumbers.end());
            std::erase_if(message.objects, [&](const StoredObject &object) {
                return !differing.contains(partOf(object, message.partCount));
            });
        }
        follower.stream->send(packFeedMessage(message));
    }

    static std::vector<std::size_t> differingParts(const std::vector<std::uint64_t> &theirs,
                                                   const std::vector<StoredObject> &objects)
    {
        const std::vector<std::uint64_t> ours = partDigests(objects, theirs.size());
        std::vector<std::size_t> differing;
        for (std::size_t part = 0; part < ours.size(); ++part) {
            if (ours[part] != theirs[part])
                differing.push_back(part);
        }
        return differing;
    }

    FeedMessage answer(const FeedMessage &question) const
    {
        FeedMessage message{.kind = FeedMessage::Kind::Answer, .number = question.number};
        const DatedRecords *known = hooks.records();
        if (!known)
            return message;
        const Instant now = timers.now();
        message.age = now - known->askedAt;
        const auto confirmed = hooks.configuration ? hooks.configuration() : std::nullopt;
        if (confirmed)
            message.configuration = {confirmed->version, now - confirmed->confirmedAt};
        message.epoch = known->epoch;
        if (question.digest == digestOf(known->objects))
            message.kind = FeedMessage::Kind::Unchanged;
        else
            message.objects = known->objects;
        return message;
    }

    void drop(std::uint64_t number)
    {
        const auto found = followers.find(number);
        if (found == followers.end())
            return;
        // The stream may be the caller, so it is released later.
        const auto kept = std::make_shared<Follower>(std::move(found->second));
        followers.erase(found);
        timers.after(Duration(0), [kept, self = shared_from_this()] {});
    }

    void queueChange(const std::string &kind, const StoreChange &change)
    {
        if (followers.empty()) {
            largeObjects.erase(change.object.key);
            return;
        }
        if (changes.empty()) {
            const Duration wait = std::max(sentAt + changeSpacing - timers.now(), Duration(0));
            timers.after(wait, [weak = weak_from_this()] {
                if (const auto self = weak.lock())
                    self->sendChanges();
            });
        }
        changes[kind][change.object.key] = change;
    }

    void sendChanges()
    {
        sentAt = timers.now();
        for (const auto &[kind, changed] : std::exchange(changes, {})) {
            FeedMessage updates{.kind = FeedMessage::Kind::Change,
                                .objectKind = kind,
                                .storeVersion = mirror.version(kind)};
            FeedMessage removals = updates;
            removals.isRemoved = true;
            for (const auto &[key, change] : changed) {
                if (change.isRemoved)
                    removals.objects.push_back(change.object);
                else if (!sendPatch(kind, change.object))
                    updates.objects.push_back(change.object);
            }
            if (!updates.objects.empty())
                sendToAll(updates);
            if (!removals.objects.empty())
                sendToAll(removals);
        }
    }

    // False for an object that is small or whose previous version is not available.
    bool sendPatch(const std::string &kind, const StoredObject &object)
    {
        if (object.value.size() < largeObjectBytes) {
            largeObjects.erase(object.key);
            return false;
        }
        StoredObject &before = largeObjects[object.key];
        const auto patch =
                before.value.empty() ? std::nullopt : makePatch(before.value, object.value);
        const ObjectVersion patched = std::exchange(before, object).version;
        if (!patch)
            return false;
        sendToAll({.kind = FeedMessage::Kind::Patch,
                   .objectKind = kind,
                   .objects = {{object.key, object.version, *patch}},
                   .patchedVersion = patched,
                   .storeVersion = mirror.version(kind)});
        return true;
    }

    void sendToAll(const FeedMessage &message)
    {
        if (followers.empty())
            return;
        const std::string text = packFeedMessage(message);
        std::vector<std::uint64_t> slow;
        for (auto &[number, follower] : followers) {
            if (!follower.hasBegun)
                continue;
            follower.stream->send(text);
            if (follower.stream->queuedBytes() > maximumQueuedBytes)
                slow.push_back(number);
        }
        for (const std::uint64_t number : slow)
            drop(number);
    }

    Timers &timers;
    StoreMirror &mirror;
    Hooks hooks;
    std::unique_ptr<TcpListener> listener;
    std::map<std::uint64_t, Follower> followers;
    std::uint64_t lastNumber = 0;

    // Large objects as last sent, by key.
    std::map<std::string, StoredObject> largeObjects;

    // When changes were last sent, and the unsent ones by kind and key.
    Instant sentAt;
    std::map<std::string, std::map<std::string, StoreChange>> changes;
};

FeedReader::FeedReader(std::shared_ptr<Data> data)
    : m_data(std::move(data))
{}

FeedReader::~FeedReader()
{
    m_data->listener.reset();
    m_data->followers.clear();
}

Result<std::unique_ptr<FeedReader>> FeedReader::listen(EventLoop &loop, const Endpoint &endpoint,
                                                       Timers &timers, StoreMirror &mirror,
                                                       Hooks hooks)
{
    auto data = std::make_shared<Data>(timers, mirror, std::move(hooks));
    Result<std::unique_ptr<TcpListener>> listener =
            TcpListener::listen(loop, endpoint, unacknowledgedTimeout,
                                [weak = std::weak_ptr(data)](std::unique_ptr<TcpStream> stream) {
                                    if (const auto reader = weak.lock())
                                        reader->accepted(std::move(stream));
                                });
    if (!listener)
        return listener.error();
    data->listener = std::move(listener.value());
    mirror.listen([weak = std::weak_ptr(data)](const std::string &kind, const StoreChange &change) {
        if (const auto reader = weak.lock())
            reader->queueChange(kind, change);
    });
    return std::unique_ptr<FeedReader>(new FeedReader(std::move(data)));
}

void FeedReader::wakeFollowers()
{
    m_data->sendToAll({.kind = FeedMessage::Kind::WakeUp});
}

std::size_t FeedReader::followerCount() const
{
    return m_data->followers.size();
}

Endpoint FeedReader::endpoint() const
{
    return m_data->listener->endpoint();
}

} // namespace fescuespring
