/**
 * Numbered result codes. The thousands digit gives the outcome: 1 answered, 2 refused and not run,
 * 3 failed and may have run, 4 cancelled, 5 configuration and settings. See docs/codes.md.
 */
export const ResultCode = {
    Answered: 1000,
    TaskAccepted: 1001,
    TaskAlreadyAccepted: 1002,
    TablesApplied: 1003,

    UnknownRoute: 2000,
    BadRequest: 2001,
    QueueFull: 2002,
    DeadlinePassedInQueue: 2003,
    StoreUnavailable: 2004,
    NoTargetReachable: 2005,
    RequestTooLarge: 2006,
    NoCellOwner: 2007,
    ShuttingDown: 2008,
    RetryBudgetEmpty: 2009,
    KeyOwnerUnreachable: 2010,
    Unauthorized: 2011,
    LinkBudgetExceeded: 2012,
    TargetRefused: 2013,
    KeyAlreadyUsed: 2014,
    CellOwnerUnreachable: 2015,
    CellOwnerNotReady: 2016,
    CellOwnerBusy: 2017,
    TaskFitsNoWorker: 2101,
    TaskFailedEverywhere: 2102,
    QuotaExceeded: 2103,
    TaskUnknown: 2104,
    StaleEpoch: 2201,
    StaleAttempt: 2202,
    CapacityExceeded: 2203,

    DeadlinePassed: 3000,
    ConnectionLost: 3001,
    AnswerTruncated: 3002,
    AnswerMalformed: 3003,
    AnswerTooLarge: 3004,
    OwnerUnreachable: 3005,
    InternalError: 3006,

    CallerGone: 4000,
    TaskCancelled: 4001,

    SettingsInvalid: 5000,
    TablesInvalid: 5001,
    ConfigConflict: 5002,
    ConfigNotInForce: 5003,
    UsageError: 5004,
} as const;

export type ResultCode = (typeof ResultCode)[keyof typeof ResultCode];
