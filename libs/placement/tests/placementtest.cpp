#include "placement/placement.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <random>

using namespace fescuespring;

namespace {

const DataCentreId andong("andong");
constexpr int groupCount = 4333;

std::vector<VmId> vms(int count)
{
    std::vector<VmId> result;
    result.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        result.emplace_back("vm-" + std::to_string(i));
    return result;
}

GroupId group(int number)
{
    return GroupId("group-" + std::to_string(number));
}

} // namespace

class PlacementTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlacementTest);
    CPPUNIT_TEST(noOwnerWithoutMembers);
    CPPUNIT_TEST(memberOrderAndDuplicatesDoNotMatter);
    CPPUNIT_TEST(slicesAreBalanced);
    CPPUNIT_TEST(leavingMemberMovesOnlyItsSlicesToSuccessors);
    CPPUNIT_TEST(joiningMemberTakesSlicesOnlyForItself);
    CPPUNIT_TEST(dataCentresAreIndependent);
    CPPUNIT_TEST_SUITE_END();

public:
    void noOwnerWithoutMembers()
    {
        const Placement none;
        CPPUNIT_ASSERT(none.sliceOwner(group(1), andong) == nullptr);
        CPPUNIT_ASSERT(none.sliceOwners(group(1), andong, 3).empty());
    }

    void memberOrderAndDuplicatesDoNotMatter()
    {
        std::vector<VmId> members = vms(9);
        const Placement placement(members);
        std::ranges::reverse(members);
        members.push_back(members.front());
        const Placement other(members);
        CPPUNIT_ASSERT_EQUAL(std::size_t(9), other.size());
        for (int i = 0; i < 100; ++i) {
            const auto order = placement.sliceOwners(group(i), andong, 9);
            CPPUNIT_ASSERT(order == other.sliceOwners(group(i), andong, 9));
            CPPUNIT_ASSERT(order.front() == *placement.sliceOwner(group(i), andong));
        }
    }

    // Slice counts are binomial: every VM must be within five standard deviations of the mean.
    void slicesAreBalanced()
    {
        for (const int count : {3, 9, 440}) {
            const Placement placement(vms(count));
            std::map<std::string, int> owned;
            for (int i = 0; i < groupCount; ++i)
                ++owned[placement.sliceOwner(group(i), andong)->value()];
            const double mean = static_cast<double>(groupCount) / count;
            for (const auto &[vm, slices] : owned)
                CPPUNIT_ASSERT_DOUBLES_EQUAL(mean, slices, 5 * std::sqrt(mean) + 1);
        }
    }

    void leavingMemberMovesOnlyItsSlicesToSuccessors()
    {
        std::mt19937_64 random(7);
        for (int round = 0; round < 20; ++round) {
            std::vector<VmId> members = vms(3 + static_cast<int>(random() % 40));
            const Placement before(members);
            const std::size_t gone = random() % members.size();
            const VmId left = members[gone];
            members.erase(members.begin() + static_cast<std::ptrdiff_t>(gone));
            const Placement after(members);
            for (int i = 0; i < 500; ++i) {
                auto order = before.sliceOwners(group(i), andong, members.size() + 1);
                std::erase(order, left);
                CPPUNIT_ASSERT(order == after.sliceOwners(group(i), andong, members.size()));
            }
        }
    }

    void joiningMemberTakesSlicesOnlyForItself()
    {
        std::vector<VmId> members = vms(9);
        const Placement before(members);
        members.emplace_back("newcomer");
        const Placement after(members);
        int moved = 0;
        for (int i = 0; i < groupCount; ++i) {
            const VmId &owner = *after.sliceOwner(group(i), andong);
            if (owner == *before.sliceOwner(group(i), andong))
                continue;
            CPPUNIT_ASSERT(owner == VmId("newcomer"));
            ++moved;
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(groupCount / 10.0, moved, 5 * std::sqrt(groupCount / 10.0));
    }

    void dataCentresAreIndependent()
    {
        const Placement placement(vms(9));
        int same = 0;
        for (int i = 0; i < groupCount; ++i) {
            if (*placement.sliceOwner(group(i), andong)
                == *placement.sliceOwner(group(i), DataCentreId("yeongju")))
                ++same;
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(groupCount / 9.0, same, 5 * std::sqrt(groupCount / 9.0));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);
