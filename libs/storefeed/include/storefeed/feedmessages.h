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

        // Reader, after Begin: every object of a kind of which the follower lacks some.
        All,

        // Reader: one change.
        Change,

        // Reader: the records were read anew and differ; ask.
        Nudge,
    };
    Kind kind = Kind::Nudge;

    // Of Question and Answer: pairs them.
    std::uint64_t number = 0;

    // Of Answer and Unchanged: time since the reader asked the store, when it answered; negative
    // where it knows nothing.
    Duration age{-1};

    // Of Question: digest of the records that the follower holds; 0 if it holds none. Of Known: of
    // the objects of the kind.
    std::uint64_t digest = 0;

    // Of Known: highest version among the objects.
    ObjectVersion newest = {};

    // Of Known, All and Change: the kind of objects. Of Answer and All: the objects.
    std::string objectKind = {};
    std::vector<StoredObject> objects = {};

    // Of Change.
    bool isRemoved = false;
};

// Tells apart records of different keys or versions; never 0.
std::uint64_t digestOf(const std::vector<StoredObject> &records);

// Text of a message with its end of line.
std::string encodeFeedMessage(const FeedMessage &message);

// Malformed for anything else; line is without its end.
Result<FeedMessage> decodeFeedMessage(std::string_view line);

} // namespace fescuespring
