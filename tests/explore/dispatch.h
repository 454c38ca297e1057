// Random schedules of the placement under overload.
#pragma once

// Checks what must always hold of waiting requests and of the slots that they get. Reads
// its parameters from RC_PARAMS.
bool CheckDispatch();
