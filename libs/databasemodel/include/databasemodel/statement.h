#pragma once

#include "base/result.h"
#include "base/types.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace fescuespring {

// The statement language of the database stand-in. Statements are opaque to the proxy; only the
// stand-in parses them.
//
//     [work=MS] set KEY VALUE      "ok"
//     [work=MS] get KEY            the value, or empty if the key is missing
//     [work=MS] add KEY N          the new value; a missing key counts as 0
//     [work=MS] append KEY TEXT    the new length
//     [work=MS] sum PREFIX         the sum of the integer values of keys with that prefix
//
// Work is the time for which the statement holds a slot, in milliseconds, possibly fractional.
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

// ErrorCode::Malformed if the text is not a statement.
Result<ParsedStatement> parseStatement(std::string_view text);

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

// The statements of one transaction over committed cells. Its writes are buffered until commit and
// visible to the transaction itself. A write transaction conflicts if a cell that it read has
// changed since; the first commit wins. Cells read by Sum are not checked, nor are read-only
// transactions.
class Workspace
{
public:
    // ErrorCode::InvalidField if the data does not allow the statement.
    Result<std::string> execute(const ParsedStatement &statement, const Cells &committed);

    // Whether another transaction has written a cell since it was read.
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
