#pragma once

#include "allowancenetwork.h"

#include <cppunit/extensions/HelperMacros.h>
#include <iostream>
#include <vector>

namespace fescuespring {

// Three data centres of six VMs, past the time in which none counts.
struct Site : AllowanceNetwork
{
    explicit Site(Allowance allowance, unsigned seed = 1)
        : AllowanceNetwork(allowance, seed)
    {
        for (const char *dataCentre : {"a", "b", "c"})
            add(dataCentre, 6);
        run(std::chrono::seconds(8));
    }

    void demandEverywhere(double operationsPerSecond)
    {
        for (const char *dataCentre : {"a", "b", "c"})
            demand(dataCentre, operationsPerSecond / 3);
    }

    void assertBounded(const char *what)
    {
        std::cerr << what << ": worst window " << worstWindow() << " of " << bound() << '\n';
        CPPUNIT_ASSERT(static_cast<double>(worstWindow()) <= bound());
    }

    void assertServed(const char *what, double minimum)
    {
        const double share = servedShare();
        std::cerr << what << ": served " << share << '\n';
        CPPUNIT_ASSERT(share >= minimum);
    }
};

// An allowance, and the demand in operations per second of which the failures happen: none leaves
// the buckets full.
struct Case
{
    Allowance allowance;
    double demandBefore;
};

inline const std::vector<Case> cases{{{100, 100}, 300}, {{100, 100}, 0},  {{600, 30}, 1800},
                                     {{600, 30}, 0},    {{600, 30}, 370}, {{30, 300}, 0}};

inline bool isIn(const AllowanceMember &member, const char *dataCentre)
{
    return member.dataCentre.value() == dataCentre;
}

} // namespace fescuespring
