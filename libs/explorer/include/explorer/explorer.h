#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace fescuespring {

// 64-bit FNV-1a hash.
class FingerprintHash
{
public:
    void add(std::string_view text)
    {
        for (const char character : text)
            m_value = (m_value ^ static_cast<unsigned char>(character)) * prime;
    }
    void add(std::uint64_t number)
    {
        for (unsigned shift = 0; shift < 64; shift += 8)
            m_value = (m_value ^ ((number >> shift) & 0xff)) * prime;
    }
    std::uint64_t value() const
    {
        return m_value;
    }

private:
    static constexpr std::uint64_t prime = 1099511628211U;

    std::uint64_t m_value = 14695981039346656037U;
};

struct ExplorationLimits
{
    // Longest sequence of steps.
    std::size_t depth = 20;

    // Maximum number of distinct states.
    std::size_t states = 20'000'000;
};

struct ExplorationResult
{
    // Distinct states that were reached, and steps that were taken.
    std::size_t states = 0;
    std::size_t steps = 0;

    // Longest sequence that was taken, and whether the search ended before the limits.
    std::size_t depth = 0;
    bool isComplete = true;

    // The first violation and the steps that led to it.
    std::optional<std::string> violation = std::nullopt;
    std::vector<std::string> path = {};
};

// Explores every sequence of steps from an initial state, expanding each distinct state once, until
// a state reports a violation. Breadth-first, so that the path to a violation is a shortest one;
// all states of one depth are in memory.
//
// World is copyable and provides
//     using Step = ...;
//     std::vector<Step> steps() const;                  possible next steps
//     void take(const Step &step);                      performs the step
//     std::string describe(const Step &step) const;     one line
//     std::uint64_t fingerprint() const;                equal for states with the same future
//     const std::optional<std::string> &violation() const;
//
//     const ExplorationResult result = Explorer<PromotionWorld>({.depth = 24}).run(world);
template <typename World>
class Explorer
{
public:
    explicit Explorer(ExplorationLimits limits)
        : m_limits(limits)
    {}

    ExplorationResult run(const World &initial)
    {
        m_result = {};
        m_visited.clear();
        m_origins.clear();
        m_visited.insert(initial.fingerprint());
        m_origins.push_back({});
        std::vector<Node> layer{{.world = initial, .origin = 0}};
        while (!layer.empty() && !m_result.violation) {
            if (m_result.depth == m_limits.depth || m_visited.size() >= m_limits.states) {
                m_result.isComplete = false;
                break;
            }
            ++m_result.depth;
            layer = expand(layer, initial);
        }
        m_result.states = m_visited.size();
        return std::move(m_result);
    }

private:
    using Step = typename World::Step;

    // How a state was first reached: the index of its parent in m_origins, and the step.
    struct Origin
    {
        std::size_t parent = 0;
        Step step = {};
    };

    struct Node
    {
        World world;
        std::size_t origin = 0;
    };

    std::vector<Node> expand(const std::vector<Node> &layer, const World &initial)
    {
        std::vector<Node> following;
        for (const Node &node : layer) {
            for (const Step &step : node.world.steps()) {
                World next = node.world;
                next.take(step);
                ++m_result.steps;
                if (!m_visited.insert(next.fingerprint()).second)
                    continue;
                m_origins.push_back({.parent = node.origin, .step = step});
                if (next.violation()) {
                    m_result.violation = next.violation();
                    recordPath(initial);
                    return {};
                }
                following.push_back({.world = std::move(next), .origin = m_origins.size() - 1});
            }
        }
        return following;
    }

    // Records the path to the most recently reached state.
    void recordPath(const World &initial)
    {
        std::vector<Step> steps;
        for (std::size_t i = m_origins.size() - 1; i > 0; i = m_origins[i].parent)
            steps.push_back(m_origins[i].step);
        World world = initial;
        for (auto step = steps.rbegin(); step != steps.rend(); ++step) {
            m_result.path.push_back(world.describe(*step));
            world.take(*step);
        }
    }

    ExplorationLimits m_limits;
    ExplorationResult m_result;
    std::unordered_set<std::uint64_t> m_visited;
    std::vector<Origin> m_origins;
};

} // namespace fescuespring
