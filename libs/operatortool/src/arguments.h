#pragma once

#include "base/result.h"
#include "base/types.h"

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/positional_options.hpp>
#include <boost/program_options/variables_map.hpp>

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace fescuespring {

// Parses an endpoint written as "ip:port" or "[ip]:port".
Result<Endpoint> parseEndpoint(const std::string &text);

// Declares and parses the options of one command. Every command has --help and --json.
//
//     Arguments arguments("route", "Shows how a request would be routed now.");
//     arguments.option("group", "group of the request");
//     if (Result<void> parsed = arguments.parse(words); !parsed) ...
//     arguments.value("group");
class Arguments
{
public:
    Arguments(std::string command, std::string purpose);

    void flag(const std::string &name, const std::string &meaning);
    void option(const std::string &name, const std::string &meaning,
                const std::string &defaultValue = {});

    // Positional arguments, in the order of declaration.
    void positional(const std::string &name, const std::string &meaning);
    void optionalPositional(const std::string &name, const std::string &meaning);

    // All remaining positional arguments.
    void words(const std::string &name, const std::string &meaning);

    // Every required positional argument must be given, unless --help is.
    Result<void> parse(const std::vector<std::string> &words);

    bool has(const std::string &name) const;

    // Empty where the option was not given and has no default.
    std::string value(const std::string &name) const;
    std::vector<std::string> values(const std::string &name) const;

    // Errors contain the name of the option.
    Result<Endpoint> endpoint(const std::string &name) const;
    Result<std::chrono::milliseconds> milliseconds(const std::string &name) const;

    std::string help() const;

private:
    Result<void> checkRequired() const;

    std::string m_command;
    std::string m_purpose;
    std::string m_usage;
    std::vector<std::string> m_required;
    boost::program_options::options_description m_options;
    boost::program_options::options_description m_words;
    boost::program_options::positional_options_description m_positions;
    boost::program_options::variables_map m_values;
};

} // namespace fescuespring
