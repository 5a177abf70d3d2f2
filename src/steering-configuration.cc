// What operators order by way of the platform's store: the configuration and the evacuated zones.
#include "oriolelever/steering.h"

#include <utility>

namespace oriolelever {

namespace {

// A new era starts the time in which what the store has lost may be written again.
void recordEra(SteeringState &state, std::uint64_t era, TimePoint now)
{
    if (era <= state.hold.era) {
        return;
    }
    state.hold.era = era;
    state.hold.until = now + state.options.eraHoldTime;
}

void putInForce(SteeringState &state, RoutingTable table)
{
    state.leastUrgent = leastUrgentPriorities(table);
    state.table = std::move(table);
}

} // namespace

TableOutcome applyTable(SteeringState &state, RoutingTable table, TimePoint now)
{
    if (state.hasTable && table.position < state.table.position) {
        return TableOutcome::Older;
    }
    recordEra(state, table.position.era, now);
    const bool isOfLaterEra = state.hasTable && table.position.era > state.table.position.era;
    if (isOfLaterEra && table.version < state.table.version && now < state.hold.until) {
        state.hold.olderTable = std::move(table);
        return TableOutcome::Held;
    }
    state.hold.olderTable.reset();
    putInForce(state, std::move(table));
    state.hasTable = true;
    return TableOutcome::InForce;
}

void applyEvacuations(SteeringState &state, std::unordered_set<ZoneId> zones, const StorePosition &position,
                      TimePoint now)
{
    const bool isOfLaterEra = position.era > state.hold.evacuationsEra;
    recordEra(state, position.era, now);
    if (isOfLaterEra) {
        state.hold.evacuationsEra = position.era;
        // Before the first list, there are none to hold.
        state.hold.zones = state.evacuatedZones;
    }
    if (now >= state.hold.until) {
        state.hold.zones.clear();
    }
    for (const auto &zone : zones) {
        // Written again: from now on, its removal ends the evacuation.
        state.hold.zones.erase(zone);
    }
    state.hasEvacuations = true;
    state.evacuatedZones = std::move(zones);
    state.evacuatedZones.insert(state.hold.zones.begin(), state.hold.zones.end());
}

bool endHold(SteeringState &state, TimePoint now)
{
    if (now < state.hold.until || (!state.hold.olderTable && state.hold.zones.empty())) {
        return false;
    }
    for (const auto &zone : std::exchange(state.hold.zones, {})) {
        state.evacuatedZones.erase(zone);
    }
    if (state.hold.olderTable) {
        putInForce(state, *std::exchange(state.hold.olderTable, std::nullopt));
    }
    return true;
}

} // namespace oriolelever
