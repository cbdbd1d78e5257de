#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace fescuespring {

// Makes wrong inputs out of a right one, the same ones for the same seed.
class Mutation
{
public:
    explicit Mutation(std::uint32_t seed);

    // The text with one to four places changed, left out, doubled or filled with marks that mean
    // something in JSON and YAML.
    std::string mutated(std::string text);

    // The text with a run of opening marks before the value of its first field.
    std::string nested(std::string text, std::size_t depth);

private:
    void change(std::string &text);
    std::size_t below(std::size_t bound);

    std::mt19937 m_random;
};

} // namespace fescuespring
