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

// The object that an edit changes, as it stands and with its new text.
struct EditedObject
{
    StoredObject before;
    std::string text;
};

// Applies an edit to the objects of the lists and checks the result whole. The result is of use
// only where no error was added.
EditedObject applyEdit(const std::vector<StoredObject> &objects, const ListEdit &edit,
                       ListErrors &errors);

// What stands at present where the edit would change something, and what the edit wants there.
std::string currentValue(const std::vector<StoredObject> &objects, const ListEdit &edit);
std::string wantedValue(const ListEdit &edit);

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

    ~ListEditor();

    // Calls done once, from the store client's callbacks, unless the editor is destroyed before.
    void edit(const ListEdit &edit, Instant now, Instant deadline, const Done &done);

private:
    class Data;
    std::shared_ptr<Data> m_data;
};

} // namespace fescuespring
