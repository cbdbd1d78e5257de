#include "distribution/distribution.h"

#include <algorithm>
#include <string_view>

namespace fescuespring {

namespace {

constexpr std::uint64_t fnvOffset = 14695981039346656037ULL;
constexpr std::uint64_t fnvPrime = 1099511628211ULL;

std::uint64_t hash(std::uint64_t seed, std::string_view text)
{
    std::uint64_t value = seed;
    for (const char c : text) {
        value ^= static_cast<unsigned char>(c);
        value *= fnvPrime;
    }
    // FNV leaves the high bits of short names alike; mix them.
    value ^= value >> 32;
    value *= 0xd6e8feb86659fd93ULL;
    return value ^ (value >> 32);
}

} // namespace

std::vector<VmId> rendezvousOrder(const std::vector<VmId> &members, const std::string &purpose)
{
    struct Weighted
    {
        std::uint64_t weight = 0;
        VmId vm;
    };
    const std::uint64_t seed = hash(fnvOffset, purpose);
    std::vector<Weighted> weighted;
    weighted.reserve(members.size());
    for (const VmId &vm : members)
        weighted.push_back({hash(seed, vm.value()), vm});
    std::sort(weighted.begin(), weighted.end(), [](const Weighted &a, const Weighted &b) {
        return a.weight != b.weight ? a.weight > b.weight : a.vm.value() < b.vm.value();
    });
    std::vector<VmId> order;
    order.reserve(weighted.size());
    for (Weighted &entry : weighted)
        order.push_back(std::move(entry.vm));
    return order;
}

} // namespace fescuespring
