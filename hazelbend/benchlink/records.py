"""Codes and layouts of the simulator's protocol.

All numbers are little-endian. A batch is a header, records of fixed size, and a tail with the data of
variable size: settings (JSON) and worker lists. A record refers to its part of the tail by offset and length.
Each record starts with its code, one byte; the bytes after its layout are zero. Times and durations are in
microseconds.
"""

from __future__ import annotations

from struct import Struct
from typing import Final

# --- batches of events; the header: number of records, bytes after the header, current time ---

BATCH_HEADER: Final = Struct("<IIQ")
EVENT_SIZE: Final = 48  # bytes

CONFIGURE: Final = 10
MEMBERSHIP_UPDATE: Final = 20
REQUEST_ARRIVED: Final = 30
STREAM_STARTED: Final = 40
ATTEMPT_ENDED: Final = 50
CLIENT_GONE: Final = 60
TIMER_FIRED: Final = 70
PROBE_ENDED: Final = 80
PEER_MESSAGE: Final = 90
KILL: Final = 100
WORKER_LIST: Final = 110
JOB_SIGNAL: Final = 120
SELECT_INSTANCE: Final = 130  # the records after it belong to this instance

# The layouts skip the code (`x`), which the decoder has read already.
SELECT_INSTANCE_LAYOUT: Final = Struct("<xI")  # instance
CONFIGURE_LAYOUT: Final = Struct("<xQII")  # seed, offset, length
WORKER_LIST_LAYOUT: Final = Struct("<xBII")  # list number, offset, count of entries
MEMBERSHIP_UPDATE_LAYOUT: Final = Struct("<xBQB")  # list kind, not used, list number
# Request, tenant, hint flags, key, job class, slots, timeout, expected work, not used
REQUEST_ARRIVED_LAYOUT: Final = Struct("<xQHBQHfIIf")
STREAM_STARTED_LAYOUT: Final = Struct("<xQIIB")  # request, not used, worker, attempt
JOB_SIGNAL_LAYOUT: Final = Struct(
    "<xQBfIB"
)  # request, kind of signal, share of the job done, worker, attempt
# Request, whether it is closed, worker, outcome, elapsed, not used, attempt, count of report values, values
ATTEMPT_ENDED_LAYOUT: Final = Struct("<xQBIHIIBB4f")
ID_LAYOUT: Final = Struct("<xQ")  # request of CLIENT_GONE, token of TIMER_FIRED
PROBE_ENDED_LAYOUT: Final = Struct("<xHIIB4f")  # outcome, worker, elapsed, count of report values, values
WORKER_ENTRY_LAYOUT: Final = Struct("<IBBHBfQ")  # worker, zone, machine kind, cell, state, weight, started at

MAX_WORKER_LISTS: Final = 16  # numbered lists that the decoder stores at once
MAX_REPORT_VALUES: Final = 4
WORK_IS_EXPECTED: Final = 1  # flag of REQUEST_ARRIVED: `expected work` holds a value
JOB_STARTED, JOB_PROGRESS = 1, 2  # kinds of JOB_SIGNAL

# --- batches of actions; the header: bytes of records and tail, number of records ---

REPLY_HEADER: Final = Struct("<II")
ACTION_SIZE: Final = 24  # bytes

SEND: Final = 10
REFUSE: Final = 20
FAIL: Final = 30
CANCEL: Final = 40
START_TIMER: Final = 50
PROBE: Final = 60
INSTANCE_FAILED: Final = 100
SUBSCRIBE: Final = 110
ACTIONS_OF_INSTANCE: Final = 130  # the records after it come from this instance

ACTIONS_OF_INSTANCE_LAYOUT: Final = Struct("<BI19x")  # code, instance
SEND_LAYOUT: Final = Struct("<BQII7x")  # code, request, timeout, worker
REFUSE_LAYOUT: Final = Struct("<BQI11x")  # code, request, retry after
FAIL_LAYOUT: Final = Struct("<BQ15x")  # code, request
CANCEL_LAYOUT: Final = Struct("<BQB14x")  # code, request, attempt
START_TIMER_LAYOUT: Final = Struct("<BIQ11x")  # code, delay, token
PROBE_LAYOUT: Final = Struct("<BI19x")  # code, worker
SUBSCRIBE_LAYOUT: Final = Struct("<BB22x")  # code, subscribe to the worker list
INSTANCE_FAILED_LAYOUT: Final = Struct("<BII15x")  # code, offset and length of the error's text

U32_MAX: Final = 2**32 - 1
