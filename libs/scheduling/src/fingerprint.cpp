#include "scheduling/fingerprint.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <xxhash.h>

namespace fescuespring {
namespace {

constexpr char quote = '\'';

bool isDigit(char c)
{
    return c >= '0' && c <= '9';
}

bool isWord(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_' || isDigit(c);
}

bool isBlank(char c)
{
    return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}

// Hashes characters in chunks of a fixed buffer, to avoid an allocation for each statement.
class ShapeHash
{
public:
    explicit ShapeHash(std::uint64_t seed)
        : m_hash(seed)
    {}

    void add(char c)
    {
        m_chunk[m_size++] = c;
        if (m_size == m_chunk.size())
            flush();
    }

    std::uint64_t finish()
    {
        flush();
        return m_hash;
    }

private:
    void flush()
    {
        m_hash = XXH3_64bits_withSeed(m_chunk.data(), m_size, m_hash);
        m_size = 0;
    }

    std::array<char, 240> m_chunk;
    std::size_t m_size = 0;
    std::uint64_t m_hash;
};

// The index after the closing quote of the text that opens at start. Doubled quotes are part of the
// text.
std::size_t skipQuoted(std::string_view statement, std::size_t start)
{
    std::size_t i = start + 1;
    while (i < statement.size()) {
        if (statement[i] != quote) {
            ++i;
            continue;
        }
        if (i + 1 == statement.size() || statement[i + 1] != quote)
            return i + 1;
        i += 2;
    }
    return i;
}

template <typename Predicate>
std::size_t skipWhile(std::string_view statement, std::size_t start, Predicate predicate)
{
    std::size_t i = start;
    while (i < statement.size() && predicate(statement[i]))
        ++i;
    return i;
}

// All words that contain a digit, such as literals and numbered names, are treated as equal.
void addWord(ShapeHash &hash, std::string_view word)
{
    if (std::any_of(word.begin(), word.end(), isDigit)) {
        hash.add('0');
        return;
    }
    for (const char c : word)
        hash.add(c);
}

std::uint64_t fingerprint(std::string_view statement, std::uint64_t seed)
{
    ShapeHash hash(seed);
    std::size_t i = 0;
    while (i < statement.size()) {
        const char c = statement[i];
        if (isWord(c)) {
            const std::size_t end = skipWhile(statement, i, isWord);
            addWord(hash, statement.substr(i, end - i));
            i = end;
        } else if (isBlank(c)) {
            hash.add(' ');
            i = skipWhile(statement, i, isBlank);
        } else if (c == quote) {
            hash.add(quote);
            i = skipQuoted(statement, i);
        } else {
            hash.add(c);
            ++i;
        }
    }
    return hash.finish();
}

} // namespace

std::uint64_t statementFingerprint(std::string_view statement)
{
    return fingerprint(statement, 0);
}

std::uint64_t requestFingerprint(std::span<const std::string> statements)
{
    std::uint64_t hash = 0;
    for (const std::string &statement : statements)
        hash = fingerprint(statement, hash);
    return hash;
}

} // namespace fescuespring
