"""
tests.examples
==============

One example of each type of payload that peers exchange.
"""

from cyclamenshift.controls.row_writer import NotWritten, Rival, Written
from cyclamenshift.fleetmessages import PoolReport, Vacate, Vacated, VmLoad
from cyclamenshift.forwarding import (
    AnswerDone,
    AnswerNotRun,
    AnswerUnknown,
    Forward,
)
from cyclamenshift.job import NO_RESOURCES, JobState
from cyclamenshift.jobmessages import (
    CountAnswer,
    CountQuery,
    HolderAnswer,
    HolderQuery,
    Holdings,
    JobCancelled,
    JobOffer,
    JobRefused,
    JobStored,
    NotOwned,
    OwnedDomain,
    StateAnswer,
    StateQuery,
)
from cyclamenshift.model import Reason
from cyclamenshift.peer import Payload
from cyclamenshift.statusmessages import Loads, Versions
from cyclamenshift.store import (
    Check,
    Committed,
    Conflict,
    HistoryLost,
    Key,
    Rejected,
    Row,
    Snapshot,
    Transaction,
    Unavailable,
    Uncertain,
    Write,
)
from cyclamenshift.storemessages import (
    CommitCall,
    FollowCall,
    ReadCall,
    RowsAnswer,
    ScanCall,
    StoreReach,
)

from . import builders

KEY = Key('job', 'job-1', 'desk')
ROW = Row(KEY, 7, {'a': 1})

EXAMPLES: tuple[Payload, ...] = (
    Forward('id', 'desk', 'look-up', b'\x00\xff', 'text/plain', 9, True, ''),
    AnswerDone(200, 'text/plain', b'\x00body'),
    AnswerNotRun(Reason.refused, 'remedy', 5),
    AnswerUnknown(Reason.answer_lost, 'remedy'),
    Loads((builders.load(), builders.load(pool='spare'))),
    Versions(3, 17),
    Holdings((OwnedDomain('desk', 3),)),
    HolderQuery('desk', 'entry-1', 3),
    HolderAnswer(True),
    JobStored('desk', builders.job()),
    JobOffer('desk', builders.job()),
    NotOwned(),
    Written(7),
    Rival(ROW),
    NotWritten(),
    JobCancelled('desk', 'job-1'),
    StateQuery('desk', 'job-1'),
    StateAnswer(True, 'checks', JobState.running),
    StateAnswer(True, 'checks', JobState.running, 'account-1'),
    JobRefused('no capacity', 2_000),
    builders.usage_report(builders.account_usage()),
    builders.allotment(),
    CountQuery('desk', 'checks'),
    CountAnswer(True, 7),
    PoolReport(
        'desk',
        3,
        (VmLoad('vm-1', NO_RESOURCES, 2, 1),),
        NO_RESOURCES,
        NO_RESOURCES,
    ),
    Vacate('desk', 'vm-1', 900),
    Vacated(True),
    StoreReach(True),
    ReadCall((KEY,)),
    ScanCall('job', 'desk'),
    FollowCall('job', 7, 900),
    CommitCall(Transaction((Check(KEY, 7),), (Write(KEY, {'a': 1}),))),
    RowsAnswer((ROW,)),
    Snapshot((ROW,), 9),
    HistoryLost(),
    Committed(8),
    Conflict((ROW,)),
    Rejected('too large'),
    Unavailable('down'),
    Uncertain('silent'),
)
