//! An in-memory log.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use agate_node::store::{
    AppendError, Fence, KeyedLog, NewestRecords, Page, ReadError, StoredRecord, Stream,
};
use async_trait::async_trait;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Duration of a call.
const CALL_TIME: Duration = Duration::from_millis(4);

/// Timeout of an append.
const APPEND_TIMEOUT: Duration = Duration::from_millis(800);

/// Timeout of a read beyond its wait.
const READ_TIMEOUT: Duration = Duration::from_millis(600);

/// Time after which a full log rejects an append.
const REJECTION_TIME: Duration = Duration::from_millis(200);

/// Duration of a slow append: more than the appender takes for a log without load.
const SLOW_APPEND_TIME: Duration = Duration::from_millis(100);

/// Time after which an unanswered append is done.
pub(crate) const LATE_APPEND_TIME: Duration = Duration::from_millis(5_500);

/// A fault that affects the calls of one client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum Fault {
    /// No fault.
    #[default]
    None,
    /// Doesn't answer appends and does them after [`LATE_APPEND_TIME`].
    AppendsLate,
    /// Refuses every call.
    RefusesAll,
    /// Appends, but doesn't answer.
    LosesAppendReplies,
    /// Refuses appends, but answers reads.
    RefusesAppends,
    /// Refuses appends to the order streams, but takes those to others and answers reads.
    RefusesOrderAppends,
    /// Refuses appends to one stream, but takes those to others and answers reads.
    RefusesAppendsTo(Stream),
    /// Refuses appends to the main stream, but takes those to others and answers reads.
    RefusesMainAppends,
    /// Refuses appends of more than this many bytes.
    RefusesAppendsOver(usize),
    /// Refuses reads of the main stream, but takes appends.
    RefusesMainReads,
    /// Rejects appends after [`REJECTION_TIME`], but answers reads.
    RejectsSlowly,
    /// Appends after [`SLOW_APPEND_TIME`].
    AppendsSlowly,
    /// Refuses reads of the order streams, but answers other reads and takes appends.
    RefusesOrderReads,
    /// Refuses reads of the configuration only.
    RefusesConfig,
    /// Neither appends nor answers within [`APPEND_TIMEOUT`].
    Silent,
    /// Neither appends to one stream nor answers within [`APPEND_TIMEOUT`], but takes appends to others.
    SilentTo(Stream),
    /// Processes and answers no call.
    AnswersNothing,
}

#[derive(Debug, Default)]
struct Shared {
    streams: HashMap<Stream, Vec<StoredRecord>>,
    writers: HashMap<Stream, Fence>,
    deleted: HashMap<Stream, u64>,
    /// Number of appends with records.
    appends: HashMap<Stream, usize>,
}

/// A link that transfers answers to reads one after another, also those that nobody waits for any more.
#[derive(Debug)]
pub(crate) struct SlowLink {
    bytes_per_s: usize,
    busy_until: Mutex<Instant>,
    transferred: AtomicUsize,
}

impl SlowLink {
    pub(crate) fn new(bytes_per_s: usize) -> Arc<Self> {
        Arc::new(Self {
            bytes_per_s,
            busy_until: Mutex::new(Instant::now()),
            transferred: AtomicUsize::new(0),
        })
    }

    /// Returns the bytes of all answers so far.
    pub(crate) fn transferred(&self) -> usize {
        self.transferred.load(Ordering::Relaxed)
    }

    /// Waits until an answer has arrived.
    async fn transfer(&self, page: &Page) -> Result<(), ReadError> {
        let bytes: usize = page.records.iter().map(|r| r.value.len()).sum();
        self.transferred.fetch_add(bytes, Ordering::Relaxed);
        let took = Duration::from_secs_f64(bytes as f64 / self.bytes_per_s as f64);
        let arrival = {
            let mut busy_until = self.busy_until.lock().expect("the lock is not poisoned");
            *busy_until = (*busy_until).max(Instant::now()) + took;
            *busy_until
        };
        if arrival > Instant::now() + READ_TIMEOUT {
            sleep(READ_TIMEOUT).await;
            return Err(ReadError::Unavailable("no answer".to_owned()));
        }
        sleep_until(arrival).await;
        Ok(())
    }
}

/// A client of the log. Clients made from each other share its records.
#[derive(Debug, Clone, Default)]
pub(crate) struct FakeLog {
    shared: Arc<Mutex<Shared>>,
    news: Arc<Notify>,
    fault: Arc<Mutex<Fault>>,
    attempts: Arc<AtomicUsize>,
    config_reads: Arc<AtomicUsize>,
    main_reads: Arc<AtomicUsize>,
    order_reads: Arc<AtomicUsize>,
    link: Option<Arc<SlowLink>>,
}

impl FakeLog {
    /// Returns another client of the same log, without this one's fault.
    pub(crate) fn client(&self) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
            news: Arc::clone(&self.news),
            fault: Arc::default(),
            attempts: Arc::default(),
            config_reads: Arc::default(),
            main_reads: Arc::default(),
            order_reads: Arc::default(),
            link: None,
        }
    }

    /// Returns another client of the same log, whose pages arrive over a slow link.
    pub(crate) fn client_behind(&self, link: &Arc<SlowLink>) -> Self {
        Self {
            link: Some(Arc::clone(link)),
            ..self.client()
        }
    }

    pub(crate) fn set_fault(&self, fault: Fault) {
        *self.fault.lock().expect("the lock is not poisoned") = fault;
    }

    /// Appends a record as an external writer.
    pub(crate) fn put(&self, stream: Stream, key: &str, value: &[u8]) {
        let mut shared = self.shared.lock().expect("the lock is not poisoned");
        shared.push(stream, &[(key.to_owned(), value.to_vec())]);
        self.news.notify_waiters();
    }

    /// Deletes all records but the newest of each key.
    pub(crate) fn compact(&self, stream: Stream) {
        let mut shared = self.shared.lock().expect("the lock is not poisoned");
        let end = shared.streams.entry(stream).or_default().len() as u64;
        shared.deleted.insert(stream, end);
    }

    /// Returns the keys of a stream's records, oldest first.
    pub(crate) fn keys(&self, stream: Stream) -> Vec<String> {
        let shared = self.shared.lock().expect("the lock is not poisoned");
        let records = shared.streams.get(&stream).into_iter().flatten();
        records.map(|entry| entry.key.clone()).collect()
    }

    /// Returns the value of the newest record of a key.
    pub(crate) fn newest_value(&self, stream: Stream, key: &str) -> Option<Vec<u8>> {
        let shared = self.shared.lock().expect("the lock is not poisoned");
        let mut records = shared.streams.get(&stream)?.iter().rev();
        let newest = records.find(|entry| entry.key == key)?;
        Some(newest.value.clone())
    }

    /// Returns the number of appends with records to the order streams.
    pub(crate) fn order_appends(&self) -> usize {
        let shared = self.shared.lock().expect("the lock is not poisoned");
        let streams = shared.appends.iter();
        streams
            .filter(|(stream, _)| matches!(stream, Stream::Orders(_)))
            .map(|(_, appends)| appends)
            .sum()
    }

    /// Returns the number of appends that this client has attempted.
    pub(crate) fn append_attempts(&self) -> usize {
        self.attempts.load(Ordering::Relaxed)
    }

    /// Returns the number of reads of the configuration that this client has attempted.
    pub(crate) fn config_reads(&self) -> usize {
        self.config_reads.load(Ordering::Relaxed)
    }

    /// Returns the number of reads of the main stream that this client has attempted.
    pub(crate) fn main_reads(&self) -> usize {
        self.main_reads.load(Ordering::Relaxed)
    }

    /// Returns the number of answers that this client has had about the newest records of order streams.
    pub(crate) fn order_reads(&self) -> usize {
        self.order_reads.load(Ordering::Relaxed)
    }

    /// Returns the values of a stream's records, oldest first.
    pub(crate) fn values(&self, stream: Stream) -> Vec<Vec<u8>> {
        let shared = self.shared.lock().expect("the lock is not poisoned");
        let records = shared.streams.get(&stream).into_iter().flatten();
        records.map(|entry| entry.value.clone()).collect()
    }

    fn count_read(&self, stream: Stream) {
        let is_config = stream == Stream::Config;
        self.config_reads
            .fetch_add(usize::from(is_config), Ordering::Relaxed);
        let is_main = stream == Stream::Main;
        self.main_reads
            .fetch_add(usize::from(is_main), Ordering::Relaxed);
    }

    fn refuses_read(&self, stream: Stream) -> bool {
        match self.fault() {
            Fault::RefusesAll => true,
            Fault::RefusesMainReads => stream == Stream::Main,
            Fault::RefusesOrderReads => matches!(stream, Stream::Orders(_)),
            Fault::RefusesConfig => stream == Stream::Config,
            _ => false,
        }
    }

    async fn check_answers(&self, wait: Duration) -> Result<(), ReadError> {
        if self.fault() != Fault::AnswersNothing {
            return Ok(());
        }
        sleep(wait + READ_TIMEOUT).await;
        Err(ReadError::Unavailable("no answer".to_owned()))
    }

    fn fault(&self) -> Fault {
        *self.fault.lock().expect("the lock is not poisoned")
    }
}

impl Shared {
    fn push(&mut self, stream: Stream, records: &[(String, Vec<u8>)]) -> u64 {
        *self.appends.entry(stream).or_default() += usize::from(!records.is_empty());
        let stored = self.streams.entry(stream).or_default();
        for (key, value) in records {
            stored.push(StoredRecord {
                offset: stored.len() as u64,
                key: key.clone(),
                value: value.clone(),
            });
        }
        stored.len() as u64
    }

    fn append(
        &mut self,
        stream: Stream,
        records: &[(String, Vec<u8>)],
        fence: Option<Fence>,
    ) -> Result<u64, AppendError> {
        let Some(fence) = fence else {
            return Ok(self.push(stream, records));
        };
        if let Some(last) = self.writers.get(&stream) {
            if fence.epoch < last.epoch {
                return Err(AppendError::Fenced);
            }
            if fence == *last {
                return Ok(self.streams.get(&stream).map_or(0, Vec::len) as u64);
            }
            if fence.epoch == last.epoch && fence.sequence != last.sequence + 1 {
                return Err(AppendError::OutOfSequence(last.sequence + 1));
            }
        }
        self.writers.insert(stream, fence);
        Ok(self.push(stream, records))
    }

    fn page(&self, stream: Stream, from: u64, max_bytes: usize) -> Result<Page, ReadError> {
        if from < self.deleted.get(&stream).copied().unwrap_or(0) {
            return Err(ReadError::Deleted);
        }
        let stored = self.streams.get(&stream).map_or(&[][..], Vec::as_slice);
        let at = usize::try_from(from).expect("offsets in tests are small");
        let mut bytes = 0;
        let fits = |record: &&StoredRecord| {
            let is_first = bytes == 0;
            bytes += record.value.len();
            is_first || bytes <= max_bytes
        };
        let rest = stored.get(at..).unwrap_or_default().iter();
        Ok(Page {
            records: rest.take_while(fits).cloned().collect(),
            end: stored.len() as u64,
        })
    }
}

impl From<FakeLog> for Arc<dyn KeyedLog> {
    fn from(log: FakeLog) -> Self {
        Arc::<FakeLog>::new(log)
    }
}

#[async_trait]
impl KeyedLog for FakeLog {
    async fn append(
        &self,
        stream: Stream,
        records: &[(String, Vec<u8>)],
        fence: Option<Fence>,
    ) -> Result<u64, AppendError> {
        self.attempts.fetch_add(1, Ordering::Relaxed);
        sleep(CALL_TIME).await;
        let fault = self.fault();
        let refuses = match fault {
            Fault::RefusesAll | Fault::RefusesAppends => true,
            Fault::RefusesMainAppends => stream == Stream::Main,
            Fault::RefusesAppendsTo(refused) => stream == refused,
            Fault::RefusesAppendsOver(bytes) => {
                records.iter().map(|(_, value)| value.len()).sum::<usize>() > bytes
            }
            Fault::RefusesOrderAppends => matches!(stream, Stream::Orders(_)),
            _ => false,
        };
        if refuses {
            return Err(AppendError::NotDone("refused".to_owned()));
        }
        if fault == Fault::RejectsSlowly {
            sleep(REJECTION_TIME).await;
            return Err(AppendError::NotDone("the queue is full".to_owned()));
        }
        if fault == Fault::AppendsSlowly {
            sleep(SLOW_APPEND_TIME).await;
        }
        if matches!(fault, Fault::Silent | Fault::AnswersNothing)
            || fault == Fault::SilentTo(stream)
        {
            sleep(APPEND_TIMEOUT).await;
            return Err(AppendError::Unknown("no answer".to_owned()));
        }
        if fault == Fault::AppendsLate && fence.is_none() {
            let (log, records) = (self.client(), records.to_vec());
            tokio::spawn(async move {
                sleep(LATE_APPEND_TIME).await;
                for (key, value) in &records {
                    log.put(stream, key, value);
                }
            });
            sleep(APPEND_TIMEOUT).await;
            return Err(AppendError::Unknown("no answer".to_owned()));
        }
        let appended = {
            let mut shared = self.shared.lock().expect("the lock is not poisoned");
            shared.append(stream, records, fence)
        };
        self.news.notify_waiters();
        if fault == Fault::LosesAppendReplies {
            return Err(AppendError::Unknown("no answer".to_owned()));
        }
        appended
    }

    async fn read_page(
        &self,
        stream: Stream,
        from: u64,
        wait: Duration,
        max_bytes: usize,
    ) -> Result<Page, ReadError> {
        self.count_read(stream);
        sleep(CALL_TIME).await;
        self.check_answers(wait).await?;
        let deadline = Instant::now() + wait;
        loop {
            let news = self.news.notified();
            if self.refuses_read(stream) {
                return Err(ReadError::Unavailable("refused".to_owned()));
            }
            let page = {
                let shared = self.shared.lock().expect("the lock is not poisoned");
                shared.page(stream, from, max_bytes)?
            };
            let left = deadline.saturating_duration_since(Instant::now());
            if !page.records.is_empty() || timeout(left, news).await.is_err() {
                if let Some(link) = &self.link {
                    link.transfer(&page).await?;
                }
                return Ok(page);
            }
        }
    }

    async fn newest(&self, stream: Stream) -> Result<NewestRecords, ReadError> {
        self.count_read(stream);
        sleep(CALL_TIME).await;
        self.check_answers(Duration::ZERO).await?;
        if self.refuses_read(stream) {
            return Err(ReadError::Unavailable("refused".to_owned()));
        }
        let shared = self.shared.lock().expect("the lock is not poisoned");
        let mut newest: HashMap<String, StoredRecord> = HashMap::new();
        for entry in shared.streams.get(&stream).into_iter().flatten() {
            newest.insert(entry.key.clone(), entry.clone());
        }
        let mut records: Vec<StoredRecord> = newest.into_values().collect();
        records.retain(|entry| !entry.value.is_empty());
        records.sort_by_key(|entry| entry.offset);
        let end = shared.streams.get(&stream).map_or(0, Vec::len) as u64;
        let is_order = matches!(stream, Stream::Orders(_));
        self.order_reads
            .fetch_add(usize::from(is_order), Ordering::Relaxed);
        Ok(NewestRecords { records, end })
    }

    async fn newest_with_prefix(
        &self,
        stream: Stream,
        prefix: &str,
    ) -> Result<NewestRecords, ReadError> {
        let mut newest = self.newest(stream).await?;
        newest.records.retain(|entry| entry.key.starts_with(prefix));
        Ok(newest)
    }
}
