// The measurements with separate processes; each starts what it needs, prints a table and ends it.
#pragma once

namespace mangonotch::bench {

void MeasureThroughput();
void MeasureSlowedWorkers();
void MeasureLongWork();
void MeasureTargetDrain();
void MeasureHostDrain();
void MeasureControlCost();
void MeasureDatagrams();
void MeasureEdits();
void MeasureLookups();

}  // namespace mangonotch::bench
