#include "net/http.h"

#include <boost/beast/core/string.hpp>

#include <cctype>
#include <charconv>
#include <string_view>

namespace fescuespring {

namespace {

std::string percentDecode(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned value = 0;
        if (text[i] == '%' && i + 2 < text.size()) {
            const char *end = text.data() + i + 3;
            if (std::from_chars(text.data() + i + 1, end, value, 16).ptr == end) {
                decoded += static_cast<char>(value);
                i += 2;
                continue;
            }
        }
        decoded += text[i] == '+' ? ' ' : text[i];
    }
    return decoded;
}

} // namespace

std::string headerValue(const std::vector<HttpHeader> &headers, std::string_view name)
{
    for (const HttpHeader &header : headers) {
        if (boost::beast::iequals(header.name, name))
            return header.value;
    }
    return {};
}

std::string targetPath(const std::string &target)
{
    return target.substr(0, target.find('?'));
}

std::string queryValue(const std::string &target, const std::string &name)
{
    const std::size_t question = target.find('?');
    if (question == std::string::npos)
        return {};
    std::string_view rest = std::string_view(target).substr(question + 1);
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        const std::size_t equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name)
            return percentDecode(pair.substr(equals + 1));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    }
    return {};
}

std::string percentEncode(const std::string &text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr std::string_view unreserved = "-._~";
    std::string encoded;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || unreserved.find(c) != std::string_view::npos) {
            encoded += c;
            continue;
        }
        encoded += '%';
        encoded += digits[byte >> 4U];
        encoded += digits[byte & 15U];
    }
    return encoded;
}

} // namespace fescuespring
