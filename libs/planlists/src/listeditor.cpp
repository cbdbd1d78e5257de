#include "planlists/listeditor.h"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

namespace fescuespring {

namespace {

constexpr std::array outcomeNames{"done", "conflict", "refused", "unknown", "not-done"};

// The ids of edits in an object.
std::vector<std::string> editIds(const StoredObject &object)
{
    ListErrors errors;
    return object.key == plansKey ? parsePlans(object.value, errors).edits
                                  : parseCustomers(object.key, object.value, errors).edits;
}

bool containsEdit(const StoredObject &object, const std::string &edit)
{
    const std::vector<std::string> edits = editIds(object);
    return std::find(edits.begin(), edits.end(), edit) != edits.end();
}

// Whether the edit is in the object; nothing if its id may have been evicted by later edits.
std::optional<bool> isEditIn(const StoredObject &object, const std::string &edit)
{
    if (containsEdit(object, edit))
        return true;
    if (editIds(object).size() >= maximumEditIds)
        return std::nullopt;
    return false;
}

// State of one edit from the first read to its outcome.
struct Attempt
{
    ListEdit edit;
    Instant started;
    Instant deadline;
    ListEditor::Done done;

    std::vector<StoredObject> objects;
    std::optional<std::string> base;
};

using AttemptPointer = std::shared_ptr<Attempt>;

std::string itemName(const ListEdit &edit)
{
    struct ItemNamer
    {
        std::string operator()(const SetPlanField &operation) const
        {
            return "plans." + operation.plan.value() + "." + operation.field;
        }
        std::string operator()(const AddPlan &operation) const
        {
            return "plans." + operation.plan.value();
        }
        std::string operator()(const RemovePlan &operation) const
        {
            return "plans." + operation.plan.value();
        }
        std::string operator()(const AddCustomer &operation) const
        {
            return "customers." + operation.customer.value();
        }
        std::string operator()(const MoveCustomer &operation) const
        {
            return "customers." + operation.customer.value();
        }
        std::string operator()(const RemoveCustomer &operation) const
        {
            return "customers." + operation.customer.value();
        }
        std::string operator()(const ReplaceObject &operation) const
        {
            return operation.key;
        }
    };
    return std::visit(ItemNamer(), edit.operation);
}

} // namespace

const char *toString(EditOutcome outcome)
{
    return outcomeNames[static_cast<std::size_t>(outcome)];
}

std::string describe(const EditConflict &conflict)
{
    return conflict.item
           + " was changed by another operator concurrently\n  base:   " + conflict.base
           + "\n  theirs: " + conflict.theirs + "\n  yours:  " + conflict.yours + "\n";
}

class ListEditor::Data : public std::enable_shared_from_this<ListEditor::Data>
{
public:
    explicit Data(StoreClient &store)
        : m_store(store)
    {}

    void load(const AttemptPointer &attempt);

private:
    void loadCustomers(const AttemptPointer &attempt);
    void apply(const AttemptPointer &attempt);
    void write(const AttemptPointer &attempt, const EditedObject &edited);
    void handleWriteResult(const AttemptPointer &attempt, const WriteResult &result);

    static void finish(const Attempt &attempt, const StoredObject &object);
    static void notDone(const Attempt &attempt, const Error &error);

    template <typename T, typename Handler>
    std::function<void(const T &)> guarded(Handler handler)
    {
        return [weak = weak_from_this(), handler](const T &result) {
            if (const std::shared_ptr<Data> self = weak.lock())
                handler(*self, result);
        };
    }

    StoreClient &m_store;
};

void ListEditor::Data::load(const AttemptPointer &attempt)
{
    attempt->objects.clear();
    m_store.read(std::string(plansKey), attempt->started, attempt->deadline,
                 guarded<Result<StoredObject>>([attempt](Data &self, const auto &result) {
                     if (!result) {
                         notDone(*attempt, result.error());
                         return;
                     }
                     attempt->objects.push_back(result.value());
                     self.loadCustomers(attempt);
                 }));
}

void ListEditor::Data::loadCustomers(const AttemptPointer &attempt)
{
    m_store.list(
            std::string(customersPrefix), attempt->started, attempt->deadline,
            guarded<Result<std::vector<StoredObject>>>([attempt](Data &self, const auto &result) {
                if (!result) {
                    notDone(*attempt, result.error());
                    return;
                }
                const std::vector<StoredObject> &parts = result.value();
                attempt->objects.insert(attempt->objects.end(), parts.begin(), parts.end());
                self.apply(attempt);
            }));
}

void ListEditor::Data::apply(const AttemptPointer &attempt)
{
    for (const StoredObject &object : attempt->objects) {
        if (containsEdit(object, attempt->edit.id)) {
            finish(*attempt, object);
            return;
        }
    }
    const std::string current = currentValue(attempt->objects, attempt->edit);
    if (!attempt->base) {
        const auto *const replace = std::get_if<ReplaceObject>(&attempt->edit.operation);
        attempt->base = replace ? replace->base : current;
    }
    if (current != *attempt->base) {
        EditResult result;
        result.outcome = EditOutcome::Conflict;
        result.conflict = {itemName(attempt->edit), *attempt->base, current,
                           requestedValue(attempt->edit)};
        attempt->done(result);
        return;
    }
    ListErrors errors;
    const EditedObject edited = applyEdit(attempt->objects, attempt->edit, errors);
    if (errors.empty()) {
        write(attempt, edited);
        return;
    }
    EditResult result;
    result.outcome = EditOutcome::Refused;
    result.errors = errors;
    attempt->done(result);
}

void ListEditor::Data::write(const AttemptPointer &attempt, const EditedObject &edited)
{
    m_store.write(
            {edited.before.key, edited.text, edited.before.version}, attempt->started,
            attempt->deadline,
            guarded<WriteResult>([attempt](Data &self, const WriteResult &result) {
                self.handleWriteResult(attempt, result);
            }),
            [id = attempt->edit.id](const StoredObject &object) { return isEditIn(object, id); });
}

void ListEditor::Data::handleWriteResult(const AttemptPointer &attempt, const WriteResult &result)
{
    switch (result.outcome) {
    case WriteOutcome::Written:
        finish(*attempt, result.current);
        break;
    case WriteOutcome::Conflict:
        // Another edit came first; reads the lists again to see whether it changed the same item.
        load(attempt);
        break;
    case WriteOutcome::NotWritten:
        notDone(*attempt, result.error);
        break;
    case WriteOutcome::Unknown: {
        EditResult unknown;
        unknown.outcome = EditOutcome::Unknown;
        unknown.errors.push_back({result.current.key, result.error});
        attempt->done(unknown);
        break;
    }
    }
}

void ListEditor::Data::finish(const Attempt &attempt, const StoredObject &object)
{
    EditResult result;
    result.outcome = EditOutcome::Done;
    result.key = object.key;
    result.version = object.version;
    attempt.done(result);
}

void ListEditor::Data::notDone(const Attempt &attempt, const Error &error)
{
    EditResult result;
    result.outcome = EditOutcome::NotDone;
    result.errors.push_back({"store", error});
    attempt.done(result);
}

ListEditor::ListEditor(StoreClient &store)
    : m_data(std::make_shared<Data>(store))
{}

ListEditor::~ListEditor() = default;

void ListEditor::edit(const ListEdit &edit, Instant now, Instant deadline, const Done &done)
{
    auto attempt = std::make_shared<Attempt>();
    attempt->edit = edit;
    attempt->started = now;
    attempt->deadline = deadline;
    attempt->done = done;
    m_data->load(attempt);
}

} // namespace fescuespring
