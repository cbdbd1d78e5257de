#include "support/membernetwork.h"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

using namespace fescuespring;
using namespace std::chrono_literals;
using test::MemberNetwork;

class MembershipTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MembershipTest);
    CPPUNIT_TEST(membersDiscoverEachOtherFromSeeds);
    CPPUNIT_TEST(crashIsDetectedByAllWithinTwoSeconds);
    CPPUNIT_TEST(crashOfARackIsDetectedByAllWithinTwoSeconds);
    CPPUNIT_TEST(noMemberIsDeclaredDeadUnderPacketLoss);
    CPPUNIT_TEST(frozenVmDetectsItsPauseAndDeclaresNobodyDead);
    CPPUNIT_TEST(sidesOfAPartitionContinueAndMergeAgain);
    CPPUNIT_TEST(isolatedVmContinuesAndRejoins);
    CPPUNIT_TEST(vmThatReceivesNothingCausesNoFalseDeaths);
    CPPUNIT_TEST(plannedStopIsNotReportedAsDeath);
    CPPUNIT_TEST(restartedVmRejoins);
    CPPUNIT_TEST(outdatedListChangesNoMemberState);
    CPPUNIT_TEST(leavingMembersOfTheListAreApplied);
    CPPUNIT_TEST(restartedMemberIsNotRequestedToLeave);
    CPPUNIT_TEST(malformedDatagramsAreIgnored);
    CPPUNIT_TEST_SUITE_END();

public:
    void membersDiscoverEachOtherFromSeeds()
    {
        MemberNetwork network({.count = 100});
        CPPUNIT_ASSERT(network.runUntil([&] { return network.allCount(100); }, 5s) < 2s);
        CPPUNIT_ASSERT(network[50].mayAct(network.now()));
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1"), network[50].members()[3].endpoints.peers.ip);
    }

    void crashIsDetectedByAllWithinTwoSeconds()
    {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            MemberNetwork network({.count = 9 * seed, .seed = seed});
            network.run(5s);
            network.crash(4);
            const Duration took =
                    network.runUntil([&] { return network.allCount(9 * seed - 1); }, 5s);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(took.count()), took < 2s);
        }
    }

    void crashOfARackIsDetectedByAllWithinTwoSeconds()
    {
        MemberNetwork network({.count = 100, .seed = 3});
        network.run(5s);
        for (std::size_t i = 20; i < 30; ++i)
            network.crash(i);
        CPPUNIT_ASSERT(network.runUntil([&] { return network.allCount(90); }, 5s) < 2s);
    }

    void noMemberIsDeclaredDeadUnderPacketLoss()
    {
        MemberNetwork network({.count = 30, .loss = 0.2, .seed = 5});
        network.run(120s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), network.deaths([](const auto &) { return true; }));
        CPPUNIT_ASSERT(network.allCount(30));
    }

    void frozenVmDetectsItsPauseAndDeclaresNobodyDead()
    {
        MemberNetwork network({.count = 30, .seed = 6});
        network.run(5s);
        network.freeze(7);
        network.run(5s);
        CPPUNIT_ASSERT(!network[7].mayAct(network.now()));
        network.thaw(7);
        CPPUNIT_ASSERT(!network[7].mayAct(network.now()));
        CPPUNIT_ASSERT_EQUAL(1, network.pauses(7));
        network.runUntil([&] { return network.allCount(30); }, 2s);
        CPPUNIT_ASSERT(network.allCount(30));
        network.run(1s);
        CPPUNIT_ASSERT(network[7].mayAct(network.now()));
        const std::size_t others =
                network.deaths([](const auto &change) { return change.member != 7; });
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), others);
    }

    void sidesOfAPartitionContinueAndMergeAgain()
    {
        MemberNetwork network({.count = 40, .seed = 7});
        network.run(5s);
        network.cut([](std::size_t i) { return i < 15 ? 1 : 2; });
        network.run(10s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(15), network[3].size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(25), network[30].size());
        CPPUNIT_ASSERT(network[3].mayAct(network.now()));
        network.changes().clear();
        network.heal();
        CPPUNIT_ASSERT(network.runUntil([&] { return network.allCount(40); }, 20s) < 5s);
        // Reports of the other side must not remove a member of one's own side.
        network.run(5s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), network.deaths([](const auto &) { return true; }));
    }

    void isolatedVmContinuesAndRejoins()
    {
        MemberNetwork network({.count = 9, .seed = 8});
        network.run(5s);
        network.cut([](std::size_t i) { return i == 4 ? 1 : 2; });
        network.run(20s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), network[4].size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), network[1].size());
        network.heal();
        CPPUNIT_ASSERT(network.runUntil([&] { return network.allCount(9); }, 20s) < 3s);
    }

    void vmThatReceivesNothingCausesNoFalseDeaths()
    {
        MemberNetwork network({.count = 20, .seed = 14});
        network.run(5s);
        network.deafen(7);
        network.run(20s);
        const std::size_t others = network.deaths(
                [](const auto &change) { return change.member != 7 && change.observer != 7; });
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), others);
        CPPUNIT_ASSERT_EQUAL(std::size_t(19), network[3].size());
    }

    void plannedStopIsNotReportedAsDeath()
    {
        MemberNetwork network({.count = 20, .loss = 0.05, .seed = 9});
        network.run(5s);
        network.apply(6, network[6].announceLeaving(network.now()));
        network.run(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(20), network[1].size());
        for (std::size_t i = 0; i < 20; ++i)
            CPPUNIT_ASSERT_EQUAL(std::size_t(19), network[i].activeMembers().size());
        network.apply(6, network[6].leave(network.now()));
        network.crash(6);
        CPPUNIT_ASSERT(network.runUntil([&] { return network.allCount(19); }, 5s) < 500ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), network.deaths([](const auto &) { return true; }));
    }

    void restartedVmRejoins()
    {
        MemberNetwork network({.count = 9, .seed = 10});
        network.run(5s);
        network.crash(4);
        network.run(5s);
        network.restart(4);
        CPPUNIT_ASSERT(network.runUntil([&] { return network.allCount(9); }, 5s) < 2s);
    }

    void outdatedListChangesNoMemberState()
    {
        MemberNetwork network({.count = 9, .seed = 11});
        network.run(5s);
        network.crash(4);
        network.run(3s);
        // The list contains the dead member and lacks a live one.
        std::vector<ListedVm> list;
        for (std::size_t i = 0; i < 8; ++i)
            list.push_back({MemberNetwork::vmOf(i), MemberNetwork::heartbeatOf(i), false});
        network.changes().clear();
        for (std::size_t i = 0; i < 9; ++i)
            network.apply(i, network[i].platformList(list, network.now()));
        network.run(5s);
        CPPUNIT_ASSERT(network.changes().empty());
        CPPUNIT_ASSERT(network.allCount(8));
        const std::vector<VmId> active = network[0].activeMembers();
        CPPUNIT_ASSERT(std::find(active.begin(), active.end(), VmId("vm-4")) == active.end());
        CPPUNIT_ASSERT(std::find(active.begin(), active.end(), VmId("vm-8")) != active.end());
    }

    void leavingMembersOfTheListAreApplied()
    {
        MemberNetwork network({.count = 9, .seed = 12});
        network.run(5s);
        network.apply(2, network[2].platformList(
                                 {{MemberNetwork::vmOf(5), MemberNetwork::heartbeatOf(5), true}},
                                 network.now()));
        network.run(2s);
        CPPUNIT_ASSERT(network.toldToLeave(5));
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), network[8].activeMembers().size());
        CPPUNIT_ASSERT(network.allCount(9));
    }

    // The member crashes before it sends that it has left, so others still have it as leaving. This
    // state of the earlier process must not be applied to the new one.
    void restartedMemberIsNotRequestedToLeave()
    {
        MemberNetwork network({.count = 3, .seed = 14});
        network.run(3s);
        network.apply(0, network[0].announceLeaving(network.now()));
        network.run(100ms);
        network.crash(0);
        network.run(25ms);
        network.restart(0);
        network.run(5s);
        CPPUNIT_ASSERT(!network.toldToLeave(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), network[1].activeMembers().size());
        CPPUNIT_ASSERT(network.allCount(3));
    }

    void malformedDatagramsAreIgnored()
    {
        MemberNetwork network({.count = 3, .seed = 13});
        network.run(3s);
        std::vector<std::uint8_t> good;
        const MembershipActions actions = network[1].setLists({ObjectVersion(7), 1}, network.now());
        CPPUNIT_ASSERT(!actions.datagrams.empty());
        good = actions.datagrams.front().bytes;
        const Endpoint from = MemberNetwork::heartbeatOf(1);
        for (std::size_t size = 0; size < good.size(); ++size) {
            const std::span<const std::uint8_t> part(good.data(), size);
            CPPUNIT_ASSERT(network[0].receive(from, part, network.now()).changes.empty());
        }
        const std::string text = network.counters(0).text();
        const std::string counted =
                "fescuespring_membership_datagrams_malformed_total " + std::to_string(good.size());
        CPPUNIT_ASSERT(text.find(counted) != std::string::npos);
        // Trailing bytes, which a later version may add, are ignored.
        good.push_back(42);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             network[0].receive(from, good, network.now()).listsSeen.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);
