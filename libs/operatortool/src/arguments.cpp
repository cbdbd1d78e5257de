#include "arguments.h"

#include <boost/program_options/parsers.hpp>

#include <charconv>
#include <sstream>

namespace fescuespring {

namespace options = boost::program_options;

namespace {

using Words = std::vector<std::string>;

constexpr std::uint64_t maximumMilliseconds = 3'600'000;

template <typename Integer>
bool parseInteger(std::string_view text, Integer &number)
{
    const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
    return result.ec == std::errc() && result.ptr == text.data() + text.size();
}

Error usageError(std::string message, std::string field = {})
{
    return Error{.code = ErrorCode::InvalidField,
                 .message = std::move(message),
                 .field = std::move(field)};
}

std::string withoutBrackets(std::string ip)
{
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']')
        return ip.substr(1, ip.size() - 2);
    return ip;
}

} // namespace

Result<Endpoint> parseEndpoint(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    Endpoint endpoint;
    if (colon == std::string::npos || colon == 0
        || !parseInteger(std::string_view(text).substr(colon + 1), endpoint.port)
        || endpoint.port == 0)
        return usageError("'" + text + "' is not of the form IP:PORT, as in 10.1.0.11:8400");
    endpoint.ip = withoutBrackets(text.substr(0, colon));
    return endpoint;
}

Arguments::Arguments(std::string command, std::string purpose)
    : m_command(std::move(command))
    , m_purpose(std::move(purpose))
    , m_options("Options")
    , m_words("Arguments")
{
    flag("help", "shows this help");
    flag("json", "prints JSON instead of tables");
}

void Arguments::flag(const std::string &name, const std::string &meaning)
{
    m_options.add_options()(name.c_str(), meaning.c_str());
}

void Arguments::option(const std::string &name, const std::string &meaning,
                       const std::string &defaultValue)
{
    auto *value = options::value<std::string>();
    if (!defaultValue.empty())
        value->default_value(defaultValue);
    m_options.add_options()(name.c_str(), value, meaning.c_str());
}

void Arguments::positional(const std::string &name, const std::string &meaning)
{
    m_words.add_options()(name.c_str(), options::value<std::string>(), meaning.c_str());
    m_positions.add(name.c_str(), 1);
    m_usage += " " + name;
    m_required.push_back(name);
}

void Arguments::optionalPositional(const std::string &name, const std::string &meaning)
{
    m_words.add_options()(name.c_str(), options::value<std::string>(), meaning.c_str());
    m_positions.add(name.c_str(), 1);
    m_usage += " [" + name + "]";
}

void Arguments::words(const std::string &name, const std::string &meaning)
{
    m_words.add_options()(name.c_str(), options::value<Words>(), meaning.c_str());
    m_positions.add(name.c_str(), -1);
    m_usage += " " + name + "...";
}

Result<void> Arguments::parse(const std::vector<std::string> &words)
{
    options::options_description all;
    all.add(m_options).add(m_words);
    const int style =
            options::command_line_style::unix_style & ~options::command_line_style::allow_guessing;
    try {
        options::store(options::command_line_parser(words)
                               .options(all)
                               .positional(m_positions)
                               .style(style)
                               .run(),
                       m_values);
    } catch (const std::exception &exception) {
        return usageError(exception.what());
    }
    return checkRequired();
}

Result<void> Arguments::checkRequired() const
{
    for (const std::string &name : m_required) {
        if (value(name).empty() && !has("help"))
            return usageError("is missing", name);
    }
    return boost::outcome_v2::success();
}

bool Arguments::has(const std::string &name) const
{
    return m_values.count(name) > 0;
}

std::string Arguments::value(const std::string &name) const
{
    return has(name) ? m_values[name].as<std::string>() : std::string();
}

std::vector<std::string> Arguments::values(const std::string &name) const
{
    return has(name) ? m_values[name].as<Words>() : Words();
}

Result<Endpoint> Arguments::endpoint(const std::string &name) const
{
    if (!has(name))
        return usageError("is missing; expected IP:PORT", "--" + name);
    Result<Endpoint> endpoint = parseEndpoint(value(name));
    if (!endpoint)
        return usageError(endpoint.error().message, "--" + name);
    return endpoint;
}

Result<std::chrono::milliseconds> Arguments::milliseconds(const std::string &name) const
{
    std::uint64_t number = 0;
    if (!parseInteger(value(name), number) || number > maximumMilliseconds) {
        return usageError("must be a whole number from 0 to " + std::to_string(maximumMilliseconds),
                          "--" + name);
    }
    return std::chrono::milliseconds(number);
}

std::string Arguments::help() const
{
    std::ostringstream text;
    text << "Usage: fescuectl " << m_command << m_usage << " [options]\n" << m_purpose << "\n";
    if (!m_words.options().empty())
        text << '\n' << m_words;
    text << '\n' << m_options;
    return text.str();
}

} // namespace fescuespring
