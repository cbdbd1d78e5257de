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

// Replaces the whole text of an object that the operator edited, starting from base.
struct ReplaceObject
{
    std::string key;
    ObjectVersion baseVersion;
    std::string base;
    std::string text;
};

// One edit; its unique id is stored in the object to detect whether the edit was made.
struct ListEdit
{
    std::string id;
    std::variant<SetPlanField, AddPlan, RemovePlan, AddCustomer, MoveCustomer, RemoveCustomer,
                 ReplaceObject>
            operation;
};

enum class EditOutcome {
    Done,
    // Another operator changed the same item concurrently; nothing was written.
    Conflict,
    // The lists would be invalid; nothing was written.
    Refused,
    // The store did not reply in time, and it is unknown whether the edit was made.
    Unknown,
    // The store did not reply in time, and nothing was written.
    NotDone,
};

const char *toString(EditOutcome outcome);

// A conflict of two operators' edits of one item.
struct EditConflict
{
    std::string item;
    std::string base;
    std::string theirs;
    std::string yours;
};

// Lines for an operator: the item, then base, theirs and yours.
std::string describe(const EditConflict &conflict);

struct EditResult
{
    EditOutcome outcome = EditOutcome::Unknown;

    // Key and new version of the object that contains the edit.
    std::string key;
    ObjectVersion version;

    ListErrors errors;
    EditConflict conflict;
};

// The object that an edit changes, before the edit, and its new text.
struct EditedObject
{
    StoredObject before;
    std::string text;
};

// Applies an edit to the objects of the lists and checks the resulting lists. The result is valid
// only if no error was added.
EditedObject applyEdit(const std::vector<StoredObject> &objects, const ListEdit &edit,
                       ListErrors &errors);

// The current value of the item that the edit changes, and the value requested by the edit.
std::string currentValue(const std::vector<StoredObject> &objects, const ListEdit &edit);
std::string requestedValue(const ListEdit &edit);

// Makes edits: reads the lists, checks the result, writes the one object on condition that it has
// not changed, and after a lost reply detects whether the edit was made. If another edit came
// first, retries unless that edit changed the same item.
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

    // Calls done once, from a callback of the store client, unless the editor is destroyed first.
    void edit(const ListEdit &edit, Instant now, Instant deadline, const Done &done);

private:
    class Data;
    std::shared_ptr<Data> m_data;
};

} // namespace fescuespring
