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

// An endpoint written as "ip:port" or "[ip]:port"; the error says so.
Result<Endpoint> parseEndpoint(const std::string &text);

// The options of one command, declared, then parsed. Every command has --help and --json.
//
//     Arguments arguments("route", "Shows where a request would go now.");
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

    // Words without a name; they are taken in the order of declaration.
    void positional(const std::string &name, const std::string &meaning);
    void optionalPositional(const std::string &name, const std::string &meaning);

    // Any further words, at the end.
    void words(const std::string &name, const std::string &meaning);

    // Unless help is asked for, every positional word must be there.
    Result<void> parse(const std::vector<std::string> &words);

    bool has(const std::string &name) const;

    // Empty where the option was not given and has no default.
    std::string value(const std::string &name) const;
    std::vector<std::string> values(const std::string &name) const;

    // Errors name the option.
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
