#pragma once

#include "base/result.h"
#include "storefeed/storemirror.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescuespring {

// What a reader and its followers say to each other: one JSON text a line.
struct FeedMessage
{
    enum class Kind {
        // Follower: how old is what you last read of the records, and what is it?
        Question,

        // Reader: the answer.
        Answer,

        // Reader: the answer where the records are those that the follower holds.
        Unchanged,

        // Follower, at the beginning: what it holds of a kind; one for each, then Begin.
        Known,
        Begin,

        // Reader, after Begin: every object of a kind, or of the parts of it that differ from what
        // the follower holds.
        All,

        // Reader: objects that changed.
        Change,

        // Reader: one change, of a large object; its value is a patch of the one before. A follower
        // that holds another version says so by Known and Begin.
        Patch,

        // Reader: the records were read anew and differ; ask.
        Nudge,

        // Reader: another message, compressed.
        Packed,
    };
    Kind kind = Kind::Nudge;

    // Of Question and Answer: pairs them.
    std::uint64_t number = 0;

    // Of Answer and Unchanged: time since the reader asked the store, when it answered; negative
    // where it knows nothing.
    Duration age{-1};

    // Of Question: digest of the records that the follower holds; 0 if it holds none.
    std::uint64_t digest = 0;

    // Of Known: digests of the parts that the objects of the kind fall into; see partDigests.
    std::vector<std::uint64_t> parts = {};

    // Of All: into how many parts the kind falls, and which of them these objects are; no numbers
    // mean all of the kind.
    std::size_t partCount = 0;
    std::vector<std::size_t> partNumbers = {};

    // Of Known, All, Change and Patch: the kind of objects. Of Answer, All, Change and Patch: the
    // objects.
    std::string objectKind = {};
    std::vector<StoredObject> objects = {};

    // Of Change.
    bool isRemoved = false;

    // Of Packed: the text of the message, as a patch of nothing.
    std::string packed = {};

    // Of Patch: the version of the object that the patch is for.
    ObjectVersion patchedVersion = {};

    // Of All, Change and Patch: the version of the store up to which the reader knows the kind.
    ObjectVersion knownUpTo = {};
};

// Tells apart records of different keys or versions; never 0.
std::uint64_t digestOf(const std::vector<StoredObject> &records);

// The part that an object belongs to by its key, of count parts.
std::size_t partOf(const StoredObject &object, std::size_t count);

// Into how many parts so many objects are divided to be compared: few objects fall into each.
std::size_t partCountFor(std::size_t objects);

// The digest of each of count parts of objects ordered by key.
std::vector<std::uint64_t> partDigests(const std::vector<StoredObject> &objects, std::size_t count);

// Text of a message with its end of line.
std::string encodeFeedMessage(const FeedMessage &message);

// The same, compressed where it is long.
std::string packFeedMessage(const FeedMessage &message);

// Malformed for anything else; line is without its end. What was packed comes out unpacked.
Result<FeedMessage> decodeFeedMessage(std::string_view line);

} // namespace fescuespring
