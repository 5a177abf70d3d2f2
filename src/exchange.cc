#include "oriolelever/dissem.h"

#include <algorithm>

#include "control.pb.h"

namespace oriolelever {

namespace {

void encodeRecord(proto::RecordMessage &message, const Record &record)
{
    message.set_kind(static_cast<std::uint32_t>(record.key.kind));
    message.set_name(record.key.name);
    message.set_epoch(record.version.epoch);
    message.set_sequence(record.version.sequence);
    message.set_deleted(record.deleted);
    message.set_value(record.value);
}

Record decodeRecord(const proto::RecordMessage &message)
{
    return {.key = {static_cast<RecordKind>(message.kind()), message.name()},
            .version = {message.epoch(), message.sequence()},
            .deleted = message.deleted(),
            .value = message.value()};
}

// Checks the ranges that other functions rely on: indices of branches and leaves, and kinds of records.
bool isValid(const proto::ExchangeMessage &message)
{
    const bool sizesValid
        = (message.branches().empty() || message.branches_size() == static_cast<int>(digestBranches))
        && message.stage() <= static_cast<std::uint32_t>(ExchangeStage::Records);
    const bool blocksValid = std::all_of(message.blocks().begin(), message.blocks().end(), [](const auto &b) {
        return b.branch() < digestBranches && b.leaves_size() == static_cast<int>(leavesPerBranch);
    });
    const bool leavesValid = std::all_of(message.leaves().begin(), message.leaves().end(),
                                         [](const auto &leaf) { return leaf.leaf() < digestLeaves; });
    const bool recordsValid
        = std::all_of(message.records().begin(), message.records().end(), [](const auto &record) {
              return record.kind() >= static_cast<std::uint32_t>(RecordKind::Service)
                  && record.kind() <= static_cast<std::uint32_t>(RecordKind::Node) && !record.name().empty();
          });
    return sizesValid && blocksValid && leavesValid && recordsValid;
}

Exchange::Block blockOf(const RecordTable &table, std::size_t branch)
{
    const auto leaves = table.leaves(branch);
    return {branch, {leaves.begin(), leaves.end()}};
}

// Adds to `next` the records that the peer lacks or has in an older version, and requests those that the peer
// has in a later one.
void compareLeaf(const RecordTable &table, const Exchange::Leaf &theirs, const ExchangeLimits &limits,
                 Exchange &next)
{
    const auto ours = table.entries(theirs.leaf);
    const auto versionIn = [](const std::vector<RecordTable::Entry> &entries, std::uint64_t key) {
        const auto found = std::find_if(entries.begin(), entries.end(),
                                        [&](const auto &entry) { return entry.key == key; });
        return found == entries.end() ? RecordVersion{} : found->version;
    };
    for (const auto &entry : ours) {
        const bool later = entry.version > versionIn(theirs.entries, entry.key);
        if (later && next.records.size() < limits.records) {
            next.records.push_back(*table.find(entry.key));
        }
    }
    for (const auto &entry : theirs.entries) {
        const bool later = entry.version > versionIn(ours, entry.key);
        if (later && next.wanted.size() < limits.records) {
            next.wanted.push_back(entry.key);
        }
    }
}

} // namespace

std::string encodeExchange(const Exchange &exchange)
{
    proto::ExchangeMessage message;
    message.set_stage(static_cast<std::uint32_t>(exchange.stage));
    message.set_from(exchange.from);
    message.set_service(exchange.service);
    message.set_root(exchange.root);
    message.set_members(static_cast<std::uint32_t>(exchange.members));
    message.set_assigned(exchange.assigned);
    message.set_depth(exchange.depth);
    message.mutable_branches()->Add(exchange.branches.begin(), exchange.branches.end());
    for (const auto &block : exchange.blocks) {
        auto &added = *message.add_blocks();
        added.set_branch(static_cast<std::uint32_t>(block.branch));
        added.mutable_leaves()->Add(block.leaves.begin(), block.leaves.end());
    }
    for (const auto &leaf : exchange.leaves) {
        auto &added = *message.add_leaves();
        added.set_leaf(static_cast<std::uint32_t>(leaf.leaf));
        for (const auto &entry : leaf.entries) {
            auto &version = *added.add_versions();
            version.set_key(entry.key);
            version.set_epoch(entry.version.epoch);
            version.set_sequence(entry.version.sequence);
        }
    }
    message.mutable_wanted()->Add(exchange.wanted.begin(), exchange.wanted.end());
    for (const auto &record : exchange.records) {
        encodeRecord(*message.add_records(), record);
    }
    for (const auto &loss : exchange.losses) {
        auto &added = *message.add_losses();
        added.set_id(loss.id);
        added.set_zone(loss.zone);
        for (const auto &name : loss.alive) {
            added.add_alive(name);
        }
    }
    return message.SerializeAsString();
}

Result<Exchange> decodeExchange(const std::string &bytes)
{
    proto::ExchangeMessage message;
    if (!message.ParseFromString(bytes) || !isValid(message)) {
        return fail(Code::MessageMalformed, "message of a records exchange is malformed");
    }
    Exchange exchange{.stage = static_cast<ExchangeStage>(message.stage()),
                      .from = message.from(),
                      .service = message.service(),
                      .root = message.root(),
                      .branches = {message.branches().begin(), message.branches().end()},
                      .members = message.members(),
                      .assigned = message.assigned(),
                      .depth = message.depth()};
    for (const auto &block : message.blocks()) {
        exchange.blocks.push_back({block.branch(), {block.leaves().begin(), block.leaves().end()}});
    }
    for (const auto &leaf : message.leaves()) {
        auto &added = exchange.leaves.emplace_back();
        added.leaf = leaf.leaf();
        for (const auto &version : leaf.versions()) {
            added.entries.push_back({version.key(), {version.epoch(), version.sequence()}});
        }
    }
    exchange.wanted.assign(message.wanted().begin(), message.wanted().end());
    for (const auto &record : message.records()) {
        exchange.records.push_back(decodeRecord(record));
    }
    for (const auto &loss : message.losses()) {
        exchange.losses.push_back({loss.id(), loss.zone(), {loss.alive().begin(), loss.alive().end()}});
    }
    return exchange;
}

Exchange openExchange(const RecordTable &table)
{
    return {.stage = ExchangeStage::Root, .root = table.root()};
}

Exchange answerExchange(const RecordTable &table, const Exchange &request, const ExchangeLimits &limits)
{
    Exchange answer{.stage = request.stage, .root = table.root()};
    if (request.stage == ExchangeStage::Root && request.root != table.root()) {
        const auto branches = table.branches();
        answer.branches.assign(branches.begin(), branches.end());
    }
    std::size_t count = 0;
    for (const auto &block : request.blocks) {
        const auto ours = table.leaves(block.branch);
        for (std::size_t i = 0; i < ours.size() && count < limits.entries; ++i) {
            if (ours[i] == block.leaves[i]) {
                continue;
            }
            const auto leaf = block.branch * leavesPerBranch + i;
            answer.leaves.push_back({leaf, table.entries(leaf)});
            count += answer.leaves.back().entries.size();
        }
    }
    for (const auto key : request.wanted) {
        auto record = table.find(key);
        if (record && answer.records.size() < limits.records) {
            answer.records.push_back(std::move(*record));
        }
    }
    return answer;
}

std::optional<Exchange> continueExchange(const RecordTable &table, const Exchange &answer,
                                         const ExchangeLimits &limits)
{
    Exchange next;
    if (answer.stage == ExchangeStage::Root && !answer.branches.empty()) {
        next.stage = ExchangeStage::Leaves;
        const auto ours = table.branches();
        for (std::size_t i = 0; i < ours.size() && next.blocks.size() < limits.branches; ++i) {
            if (ours[i] != answer.branches[i]) {
                next.blocks.push_back(blockOf(table, i));
            }
        }
        return next.blocks.empty() ? std::nullopt : std::optional(next);
    }
    if (answer.stage == ExchangeStage::Leaves) {
        next.stage = ExchangeStage::Records;
        for (const auto &leaf : answer.leaves) {
            compareLeaf(table, leaf, limits, next);
        }
        const bool nothing = next.records.empty() && next.wanted.empty();
        return nothing ? std::nullopt : std::optional(next);
    }
    return std::nullopt;
}

} // namespace oriolelever
