#pragma once

#include "base/result.h"
#include "base/types.h"
#include "planlists/listset.h"
#include "planlists/listtext.h"
#include "store/storeclient.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace fescuespring {

// Operations on the lists.
struct SetPlanField
{
    PlanId plan;
    std::string field;
    std::string value;
};
struct AddPlan
{
    PlanId plan;
    std::vector<PlanField> fields;
};
struct RemovePlan
{
    PlanId plan;
};
struct AddCustomer
{
    CustomerId customer;
    PlanId plan;
};
struct MoveCustomer
{
    CustomerId customer;
    PlanId plan;
};
struct RemoveCustomer
{
    CustomerId customer;
};

// Puts a whole text in place of the one that the operator started from.
struct ReplaceObject
{
    std::string key;
    ObjectVersion baseVersion;
    std::string base;
    std::string text;
};

// One edit; its id is unique and is kept in the object, so that the edit can be found there.
struct ListEdit
{
    std::string id;
    std::variant<SetPlanField, AddPlan, RemovePlan, AddCustomer, MoveCustomer, RemoveCustomer,
                 ReplaceObject>
            operation;
};

enum class EditOutcome {
    Done,
    // Another operator changed the same thing meanwhile; nothing was written.
    Conflict,
    // The lists would be wrong; nothing was written.
    Refused,
    // The store did not answer in time, and the edit may or may not have been made.
    Unknown,
    // The store did not answer in time, and nothing was written.
    NotDone,
};

const char *toString(EditOutcome outcome);

// What two operators wanted of one thing.
struct ThreeWay
{
    std::string what;
    std::string base;
    std::string theirs;
    std::string yours;
};

// Lines for an operator: what, then base, theirs and yours.
std::string describe(const ThreeWay &conflict);

struct EditResult
{
    EditOutcome outcome = EditOutcome::Unknown;

    // Object that the edit is in, at its new version.
    std::string key;
    ObjectVersion version;

    ListErrors errors;
    ThreeWay conflict;
};

// The object that an edit changes, with its new text.
struct EditedObject
{
    StoredObject before;
    std::string text;
};

// Applies an edit to the lists and checks the result whole. Errors as for a list read from the
// store, empty result where there are any.
EditedObject applyEdit(const ListSet &lists, const ListEdit &edit, ListErrors &errors);

// Makes edits: reads the lists, checks the result whole, writes the one object under the condition
// that it has not changed, and finds out after a lost answer whether the edit is in. Where another
// edit came first, tries again if that one was about something else.
//
//     ListEditor editor(store);
//     editor.edit({.id = "e-17", .operation = MoveCustomer{customer, plan}}, now, now + 5s,
//                 [](const EditResult &result) {...});
class ListEditor
{
public:
    using Done = std::function<void(const EditResult &)>;

    explicit ListEditor(StoreClient &store);

    // store and its tick must be kept up until done was called. clock is not needed: the deadline
    // is the store client's.
    void edit(const ListEdit &edit, Instant now, Instant deadline, const Done &done);

private:
    StoreClient &m_store;
};

} // namespace fescuespring
