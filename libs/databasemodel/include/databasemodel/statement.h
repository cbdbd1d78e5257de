#pragma once

#include "base/result.h"
#include "base/types.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace fescuespring {

// The statement language of the database stand-in. Nothing but the stand-in reads it; to the proxy
// statements are opaque.
//
//     [work=MS] set KEY VALUE      "ok"
//     [work=MS] get KEY            the value, empty where there is none
//     [work=MS] add KEY N          the new value; a missing key counts as 0
//     [work=MS] append KEY TEXT    the new length
//     [work=MS] sum PREFIX         the sum of the whole numbers under keys with that prefix
//
// Work is the time for which the statement holds a slot, in milliseconds, a fraction allowed.
enum class StatementVerb {
    Set,
    Get,
    Add,
    Append,
    Sum,
};

struct ParsedStatement
{
    StatementVerb verb = StatementVerb::Get;

    // The key, or the prefix of Sum.
    std::string key;

    // Value of Set, text of Append.
    std::string text;

    // Summand of Add.
    std::int64_t amount = 0;

    Duration work{0};
};

// ErrorCode::Malformed where the text is no statement.
Result<ParsedStatement> parseStatement(std::string_view text);

// Whether the verb changes data.
bool changesData(StatementVerb verb);

// A value and the log entry that wrote it.
struct Cell
{
    std::string value;
    LogPosition writtenAt;
};

using Cells = std::map<std::string, Cell, std::less<>>;

// The new value of one key.
struct Effect
{
    std::string key;
    std::string value;

    bool operator==(const Effect &) const = default;
};

// The statements of one transaction over committed cells. Its writes are kept apart until commit,
// and it sees them itself. Two write transactions that change what the other has read conflict; the
// first commit wins. What Sum has read is not checked, nor are transactions that only read.
class Workspace
{
public:
    // ErrorCode::InvalidField where the data does not allow the statement.
    Result<std::string> execute(const ParsedStatement &statement, const Cells &committed);

    // Whether a cell that was read has been written by someone else since.
    bool conflictsWith(const Cells &committed) const;

    std::vector<Effect> effects() const;

private:
    std::string read(const std::string &key, const Cells &committed);
    Result<std::string> add(const ParsedStatement &statement, const Cells &committed);
    Result<std::string> sum(const std::string &prefix, const Cells &committed) const;

    std::map<std::string, std::string, std::less<>> m_writes;
    std::map<std::string, LogPosition, std::less<>> m_reads;
};

} // namespace fescuespring
