#pragma once

#include "base/result.h"
#include "storefeed/storemirror.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescuespring {

// A version of the configuration, and the time since the store was known to hold no newer one.
struct ConfirmedAge
{
    std::uint64_t version = 0;
    Duration age{0};

    bool operator==(const ConfirmedAge &) const = default;
};

// Message between a reader and its followers: one JSON text per line.
struct FeedMessage
{
    enum class Kind {
        // Follower: requests the records that the reader last read, and their age.
        Question,

        // Reader: the records and their age.
        Answer,

        // Reader: the age only, as the follower already holds the records.
        Unchanged,

        // Follower, at the start: digests of what it holds of a kind; one for each kind, then
        // Begin.
        Known,
        Begin,

        // Reader, after Begin: all objects of a kind, or of those parts that differ from what the
        // follower holds.
        All,

        // Reader: changed or removed objects.
        Change,

        // Reader: change of a large object, whose value is a patch to the previous version. A
        // follower that holds another version replies with Known and Begin.
        Patch,

        // Reader: newly read records differ from the previous ones, and should be requested.
        WakeUp,

        // Reader: another message, compressed.
        Packed,
    };
    Kind kind = Kind::WakeUp;

    // Of Question, Answer and Unchanged: matches an answer to its question.
    std::uint64_t number = 0;

    // Of Answer and Unchanged: time from the reader's request to the store to this answer; negative
    // if the reader has no records.
    Duration age{-1};

    // Of Answer and Unchanged: epoch of the store in which the records were read.
    StoreEpoch epoch = {};

    // Of Answer and Unchanged: the newest configuration that the reader knows to be current; absent
    // if it knows none.
    std::optional<ConfirmedAge> configuration = {};

    // Of Question: digest of the records that the follower holds; 0 if it holds none.
    std::uint64_t digest = 0;

    // Of Known: digests of the parts into which the objects of the kind are divided; see
    // partDigests.
    std::vector<std::uint64_t> parts = {};

    // Of All: number of parts of the kind, and the parts that the objects are complete for; no
    // numbers mean all of the kind.
    std::size_t partCount = 0;
    std::vector<std::size_t> partNumbers = {};

    // Of Known, All, Change and Patch: the kind of objects. Of Answer, All, Change and Patch: the
    // objects.
    std::string objectKind = {};
    std::vector<StoredObject> objects = {};

    // Of Change.
    bool isRemoved = false;

    // Of Packed: the text of the message, as a patch to an empty value.
    std::string packed = {};

    // Of Patch: the object version to which the patch applies.
    ObjectVersion patchedVersion = {};

    // Of All, Change and Patch: the store version up to which the reader has the kind.
    ObjectVersion storeVersion = {};
};

// Digest of the keys and versions of records; never 0.
std::uint64_t digestOf(const std::vector<StoredObject> &records);

// The part, out of count, to which an object belongs by its key.
std::size_t partOf(const StoredObject &object, std::size_t count);

// Number of parts into which this many objects are divided for comparison, with few objects each.
std::size_t partCountFor(std::size_t objects);

// Digests of the count parts of objects; the objects must be ordered by key.
std::vector<std::uint64_t> partDigests(const std::vector<StoredObject> &objects, std::size_t count);

// Text of a message, including the end of line.
std::string encodeFeedMessage(const FeedMessage &message);

// Like encodeFeedMessage, but compresses a long message.
std::string packFeedMessage(const FeedMessage &message);

// Decodes a line without its end, and unpacks a Packed message. Malformed for anything else.
Result<FeedMessage> decodeFeedMessage(std::string_view line);

} // namespace fescuespring
